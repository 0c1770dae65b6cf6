//! Compression of data that is sent to many instances.

use std::io::{self, Read, Write};

use bluebell_core::units::ByteSize;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Compresses `bytes` with DEFLATE.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses `packed`. The result is truncated to `limit` bytes. Fails if `packed` is
/// not valid DEFLATE data.
pub fn decompress(packed: &[u8], limit: ByteSize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed)
        .take(limit.count())
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
