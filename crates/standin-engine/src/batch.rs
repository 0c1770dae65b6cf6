//! Continuous batching: who is in the batch, and what a step costs and brings.
//!
//! A step prefills a bounded number of prompt tokens and decodes one token for
//! every sequence whose prompt is done. Its cost grows with both, so long
//! prompts slow down the decoding of their neighbours as in a real engine.

use std::collections::VecDeque;

use bluebell_core::{config::WorkPriority, ids::RequestId, units::TokenCount};
use bluebell_endpoint::{
    api::{FinishReason, StreamItem},
    reference::ReferenceAnswer,
};
use tokio::sync::mpsc;

use crate::settings::{BatchCosts, MemorySizes};

/// One attempt at a request, waiting or in the batch.
#[derive(Debug)]
pub struct BatchSequence {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// What it will answer.
    pub answer: ReferenceAnswer,
    /// Whether the answer ends of itself or at the limit.
    pub finish: FinishReason,
    /// Whether somebody waits.
    pub priority: WorkPriority,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: TokenCount,
    /// Tokens not yet prefilled.
    pub prefill_left: u64,
    /// The position of the next token.
    pub position: u64,
    /// Whether only the prompt is wanted.
    pub prefill_only: bool,
    /// Whether the engine crashes when the prompt is done.
    pub crashes: bool,
    /// Who reads the answer.
    pub out: mpsc::UnboundedSender<StreamItem>,
}

impl BatchSequence {
    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens.count() + self.answer.length()
    }

    fn end_item(&self, finish: FinishReason) -> StreamItem {
        StreamItem::End {
            request: self.request.clone(),
            attempt: self.attempt,
            length: self.position,
            finish,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
        }
    }

    /// Emits the next token or the end; answers whether the sequence is done.
    fn advance(&mut self) -> bool {
        if self.prefill_only {
            let _ = self.out.send(self.end_item(FinishReason::Prefilled));
            return true;
        }
        if self.position < self.answer.length() {
            let token = StreamItem::Token {
                request: self.request.clone(),
                attempt: self.attempt,
                position: self.position,
                text: self.answer.token(self.position),
            };
            self.position += 1;
            if self.out.send(token).is_err() {
                return true;
            }
        }
        if self.position < self.answer.length() {
            return false;
        }
        let _ = self.out.send(self.end_item(self.finish));
        true
    }
}

/// What a step brought.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Requests whose prompt is done and whose KV cache is to be kept.
    pub prefilled: Vec<(RequestId, TokenCount)>,
    /// Whether a request crashed the engine.
    pub crashed: bool,
}

/// The queue and the batch.
#[derive(Debug)]
pub struct BatchModel {
    costs: BatchCosts,
    memory: MemorySizes,
    interactive: VecDeque<BatchSequence>,
    deferrable: VecDeque<BatchSequence>,
    running: Vec<BatchSequence>,
}

impl BatchModel {
    /// An idle engine.
    pub fn new(costs: BatchCosts, memory: MemorySizes) -> BatchModel {
        BatchModel {
            costs,
            memory,
            interactive: VecDeque::new(),
            deferrable: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Sequences that wait.
    pub fn waiting(&self) -> usize {
        self.interactive.len() + self.deferrable.len()
    }

    /// Sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Prompt tokens not yet prefilled, of those waiting and those running.
    pub fn prefill_backlog(&self) -> TokenCount {
        let waiting = self.interactive.iter().chain(&self.deferrable);
        let all = waiting.chain(&self.running);
        TokenCount::new(all.map(|sequence| sequence.prefill_left).sum())
    }

    /// KV memory of the batch.
    pub fn kv_used(&self) -> TokenCount {
        TokenCount::new(self.running.iter().map(BatchSequence::kv_tokens).sum())
    }

    /// Queues a sequence; answers `false` if the queue is full.
    pub fn enqueue(&mut self, sequence: BatchSequence) -> bool {
        if self.waiting() >= self.memory.queue {
            return false;
        }
        match sequence.priority {
            WorkPriority::Interactive => self.interactive.push_back(sequence),
            WorkPriority::Deferrable => self.deferrable.push_back(sequence),
        }
        true
    }

    /// Ends all attempts at `request`, waiting or running.
    pub fn cancel(&mut self, request: &RequestId) {
        let keep = |sequence: &BatchSequence| {
            if sequence.request != *request {
                return true;
            }
            let _ = sequence
                .out
                .send(sequence.end_item(FinishReason::Cancelled));
            false
        };
        self.interactive.retain(keep);
        self.deferrable.retain(keep);
        self.running.retain(keep);
    }

    /// Drops everything without an end mark.
    pub fn clear(&mut self) {
        self.interactive.clear();
        self.deferrable.clear();
        self.running.clear();
    }

    fn admit(&mut self) {
        let open = |sequence: &BatchSequence| !sequence.out.is_closed();
        self.interactive.retain(open);
        self.deferrable.retain(open);
        self.running.retain(open);
        while self.running.len() < self.memory.batch {
            let queue = match self.interactive.is_empty() {
                true => &mut self.deferrable,
                false => &mut self.interactive,
            };
            let Some(first) = queue.front() else { return };
            let used: u64 = self.running.iter().map(BatchSequence::kv_tokens).sum();
            let fits = used + first.kv_tokens() <= self.memory.kv_capacity.count();
            if !fits && !self.running.is_empty() {
                return;
            }
            self.running.extend(queue.pop_front());
        }
    }

    /// Begins a step; answers its cost in microseconds, or none if there is
    /// nothing to do.
    pub fn begin_step(&mut self) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let backlog: u64 = self.running.iter().map(|s| s.prefill_left).sum();
        let prefilled = backlog.min(self.memory.prefill_chunk);
        let decoding = self.running.iter().filter(|s| s.prefill_left == 0).count();
        let cost = self.costs.step_micros
            + self.costs.sequence_micros * decoding as u64
            + self.costs.prefill_micros * prefilled;
        Some(cost / self.costs.speed.max(1))
    }

    /// Ends the step: prefills and decodes what fits into it.
    pub fn finish_step(&mut self) -> StepResult {
        let mut result = StepResult::default();
        let mut budget = self.memory.prefill_chunk;
        self.running.retain_mut(|sequence| {
            let share = sequence.prefill_left.min(budget);
            budget -= share;
            sequence.prefill_left -= share;
            if sequence.prefill_left > 0 {
                return true;
            }
            if sequence.crashes {
                result.crashed = true;
                return true;
            }
            if sequence.prefill_only {
                let kept = (sequence.request.clone(), sequence.prompt_tokens);
                result.prefilled.push(kept);
            }
            !sequence.advance()
        });
        result
    }
}
