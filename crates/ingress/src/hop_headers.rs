//! Hop-by-hop headers, which apply to a single connection and are not forwarded.

use hyper::{
    HeaderMap,
    header::{CONNECTION, HeaderName, TRANSFER_ENCODING},
};

/// The headers that are always hop-by-hop.
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

/// Whether the header is always hop-by-hop.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP_HEADERS.contains(name)
}

/// Returns the further hop-by-hop headers that `Connection` lists, in lower case.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let text_values = values.filter_map(|value| value.to_str().ok());
    let names = text_values.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
