//! Compression of what is sent to many instances.

use std::io::{self, Read, Write};

use bluebell_core::units::ByteSize;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// The bytes, compressed.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// The bytes that were compressed, `limit` of them at most.
pub fn decompress(packed: &[u8], limit: ByteSize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed)
        .take(limit.count())
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
