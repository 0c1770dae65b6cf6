//! The batch costs what its settings say, and everybody gets a turn.

use bluebell_core::{
    config::WorkPriority,
    units::{ByteSize, TokenCount},
};
use bluebell_endpoint::{
    api::{FinishReason, StreamItem},
    reference::ReferenceAnswer,
};
use standin_engine::{
    batch::{BatchModel, BatchSequence},
    settings::{BatchCosts, MemorySizes},
};
use tokio::sync::mpsc;

const COSTS: BatchCosts = BatchCosts {
    step_micros: 1_000,
    sequence_micros: 10,
    prefill_micros: 5,
    import_micros: 1,
    speed: 1,
};

const MEMORY: MemorySizes = MemorySizes {
    batch: 2,
    queue: 4,
    prefill_chunk: 100,
    kv_capacity: TokenCount::new(1_000),
    cache_blocks: 8,
    block_tokens: 16,
    token_size: ByteSize::new(1),
};

struct Reader {
    items: mpsc::UnboundedReceiver<StreamItem>,
}

impl Reader {
    fn positions(&mut self) -> Vec<u64> {
        let mut positions = Vec::new();
        while let Ok(item) = self.items.try_recv() {
            if let StreamItem::Token { position, .. } = item {
                positions.push(position);
            }
        }
        positions
    }
}

fn sequence(name: &str, prefill: u64, priority: WorkPriority) -> (BatchSequence, Reader) {
    let (out, items) = mpsc::unbounded_channel();
    let sequence = BatchSequence {
        request: name.parse().unwrap(),
        attempt: 1,
        answer: ReferenceAnswer::new(&format!("{name} len=3"), TokenCount::new(100)),
        finish: FinishReason::Stop,
        priority,
        prompt_tokens: TokenCount::new(prefill),
        cached_tokens: TokenCount::ZERO,
        prefill_left: prefill,
        position: 0,
        prefill_only: false,
        crashes: false,
        out,
    };
    (sequence, Reader { items })
}

fn step(batch: &mut BatchModel) -> Option<u64> {
    let cost = batch.begin_step()?;
    batch.finish_step();
    Some(cost)
}

#[test]
fn a_step_costs_more_with_prompts_and_with_company() {
    let mut batch = BatchModel::new(COSTS, MEMORY);
    let (first, mut reader) = sequence("a", 150, WorkPriority::Interactive);
    assert!(batch.enqueue(first));
    assert_eq!(step(&mut batch), Some(1_000 + 5 * 100));
    assert!(reader.positions().is_empty());
    assert_eq!(step(&mut batch), Some(1_000 + 5 * 50));
    assert_eq!(reader.positions(), [0]);
    let (second, _other) = sequence("b", 20, WorkPriority::Interactive);
    assert!(batch.enqueue(second));
    assert_eq!(step(&mut batch), Some(1_000 + 10 + 5 * 20));
    assert_eq!(step(&mut batch), Some(1_000 + 10 * 2));
    assert_eq!(reader.positions(), [1, 2]);
}

#[test]
fn those_who_wait_go_first_and_a_full_queue_refuses() {
    let mut batch = BatchModel::new(COSTS, MEMORY);
    let mut readers = Vec::new();
    let mut add = |batch: &mut BatchModel, name: &str, priority| {
        let (sequence, reader) = sequence(name, 1, priority);
        readers.push(reader);
        batch.enqueue(sequence)
    };
    assert!(add(&mut batch, "a", WorkPriority::Deferrable));
    assert!(add(&mut batch, "b", WorkPriority::Deferrable));
    assert!(add(&mut batch, "c", WorkPriority::Interactive));
    assert!(add(&mut batch, "d", WorkPriority::Interactive));
    assert!(!add(&mut batch, "e", WorkPriority::Interactive));
    step(&mut batch);
    let served: Vec<bool> = readers
        .iter_mut()
        .map(|r| !r.positions().is_empty())
        .collect();
    assert_eq!(served, [false, false, true, true, false]);
}

#[test]
fn a_cancel_reaches_the_queue_and_a_lost_reader_frees_its_place() {
    let mut batch = BatchModel::new(COSTS, MEMORY);
    let (first, mut cancelled) = sequence("a", 1, WorkPriority::Interactive);
    let (second, gone) = sequence("b", 1, WorkPriority::Interactive);
    assert!(batch.enqueue(first) && batch.enqueue(second));
    batch.cancel(&"a".parse().unwrap());
    drop(gone);
    assert_eq!(step(&mut batch), None);
    let end = cancelled.items.try_recv().unwrap();
    let finish = match end {
        StreamItem::End { finish, .. } => finish,
        StreamItem::Token { .. } => panic!("a token came"),
    };
    assert_eq!(finish, FinishReason::Cancelled);
}
