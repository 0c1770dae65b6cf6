//! Prints how many bytes a heartbeat needs for causal order: with the applied log
//! offset, and with a vector that has one counter per peer.
//!
//! `cargo run -p bluebell-node --example causal_bytes`

use bluebell_node::peers::wire::HeartbeatMessage;
use prost::Message;

/// One peer's counter in a vector. Peers are numbered, which is the shortest
/// possible id.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct VectorEntry {
    #[prost(uint32, tag = "1")]
    peer: u32,
    #[prost(uint64, tag = "2")]
    counter: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CausalVector {
    #[prost(message, repeated, tag = "3")]
    entries: Vec<VectorEntry>,
}

fn main() {
    let offset = 25_000_000;
    let with_offset = HeartbeatMessage {
        next_offset: offset,
        ..HeartbeatMessage::default()
    };
    for peers in [9u32, 18, 350] {
        let vector = CausalVector {
            entries: (0..peers)
                .map(|peer| VectorEntry {
                    peer,
                    counter: offset / u64::from(peers),
                })
                .collect(),
        };
        println!(
            "peers={peers} one_offset_bytes={} vector_bytes={}",
            with_offset.encoded_len(),
            vector.encoded_len()
        );
    }
}
