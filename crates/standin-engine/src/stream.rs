//! The stream of an answer's items, and what faults make of it.

use bluebell_core::ids::RequestId;
use bluebell_endpoint::{
    api::{FinishReason, GenerateRequest, StreamItem},
    reference::expected_token,
};
use tokio::sync::{mpsc, watch};

use crate::{
    faults::{StreamFault, StreamFaultKind},
    history::{AttemptEnd, EngineEvent},
    state::SharedState,
};

/// One attempt's answer. Its end is written to the history when it is dropped,
/// which is also how a caller's disconnect is noticed.
pub(crate) struct AnswerStream {
    state: SharedState,
    request: RequestId,
    attempt: u32,
    items: mpsc::UnboundedReceiver<StreamItem>,
    silences: watch::Receiver<u64>,
    losses: watch::Receiver<u64>,
    fault: Option<StreamFault>,
    mute: bool,
    tokens: u64,
    end: Option<AttemptEnd>,
}

impl AnswerStream {
    pub(crate) fn new(
        state: SharedState,
        work: &GenerateRequest,
        items: mpsc::UnboundedReceiver<StreamItem>,
        fault: Option<StreamFault>,
    ) -> AnswerStream {
        AnswerStream {
            silences: state.silences.subscribe(),
            losses: state.losses.subscribe(),
            state,
            request: work.request.clone(),
            attempt: work.attempt,
            items,
            fault,
            mute: false,
            tokens: 0,
            end: None,
        }
    }

    /// The next lines to send; none at the end of the stream, whole or not.
    pub(crate) async fn next(&mut self) -> Option<Vec<u8>> {
        while self.end.is_none() {
            if self.mute {
                self.hold_open().await;
                return None;
            }
            let item = tokio::select! {
                _ = self.silences.changed() => {
                    self.mute = true;
                    continue;
                }
                () = self.state.token.cancelled() => None,
                item = self.items.recv() => item,
            };
            let Some(item) = item else {
                self.end = Some(AttemptEnd::Cut);
                return None;
            };
            if let Some(lines) = self.take(item) {
                return Some(lines);
            }
        }
        None
    }

    /// Keeps a mute connection open until the engine is lost. The batch works on
    /// for it, as a real engine would.
    async fn hold_open(&mut self) {
        tokio::select! {
            () = self.state.token.cancelled() => {}
            _ = self.losses.changed() => {}
        }
        self.end = Some(AttemptEnd::Cut);
    }

    /// Turns an item into the lines to send, or none if a fault swallows it.
    fn take(&mut self, item: StreamItem) -> Option<Vec<u8>> {
        if let StreamItem::End { finish, .. } = item {
            self.end = Some(match finish {
                FinishReason::Cancelled => AttemptEnd::Cancelled,
                _ => AttemptEnd::Whole,
            });
            return Some(line(&item));
        }
        let due = self
            .fault
            .as_ref()
            .filter(|fault| fault.after == self.tokens);
        let kind = due.map(|fault| fault.kind);
        self.tokens += 1;
        match kind {
            None => Some(line(&item)),
            Some(StreamFaultKind::Doubled) => Some(line(&item).repeat(2)),
            Some(StreamFaultKind::Crossed) => Some(line(&crossed(item))),
            Some(StreamFaultKind::Silent) => {
                self.mute = true;
                None
            }
            Some(StreamFaultKind::Truncated) => {
                self.end = Some(AttemptEnd::Cut);
                None
            }
        }
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        let at = self.state.clock.now();
        let event = EngineEvent::Ended {
            at,
            request: self.request.clone(),
            attempt: self.attempt,
            tokens: self.tokens,
            end: self.end.unwrap_or(AttemptEnd::Abandoned),
        };
        self.state.lock().history.push(event);
    }
}

/// The token as it would be in another request's answer.
fn crossed(item: StreamItem) -> StreamItem {
    let StreamItem::Token {
        attempt, position, ..
    } = item
    else {
        return item;
    };
    StreamItem::Token {
        request: RequestId::new("crossed").expect("the id is valid"),
        attempt,
        position,
        text: expected_token("crossed", position),
    }
}

fn line(item: &StreamItem) -> Vec<u8> {
    let mut line = serde_json::to_vec(item).expect("items are plain data");
    line.push(b'\n');
    line
}
