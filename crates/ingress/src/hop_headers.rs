//! Headers that concern one connection only and go no further.

use hyper::{
    HeaderMap,
    header::{CONNECTION, HeaderName, TRANSFER_ENCODING},
};

/// The headers that always concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::UPGRADE,
];

/// Whether the header always concerns one connection only.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP_HEADERS.contains(name)
}

/// The headers that `Connection` names besides, in lower case.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
