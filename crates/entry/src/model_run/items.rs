//! Reads the items of an attempt's answer and forwards its tokens to the response body.

use bluebell_core::{
    attempts::answer::{EndVerdict, TokenVerdict},
    clock::TimeSpan,
};
use bluebell_endpoint::{
    api::{FinishReason, StreamItem},
    client::ItemStream,
};
use futures::StreamExt as _;

use super::{AnswerEnd, AnswerEvent, AttemptLoss, ModelRun};
use crate::refusal::Refusal;

impl ModelRun {
    /// Returns how long to wait for the next item. Before the first token an engine may
    /// be busy with long prompts, so half of the time left until the deadline is allowed.
    pub(super) fn progress_timeout(&self) -> TimeSpan {
        if !self.answer.tokens().is_empty() {
            return self.work.progress_limit;
        }
        let time_left = self.work.deadline.since(self.context.now());
        let half = TimeSpan::from_millis(time_left.as_millis() / 2);
        half.max(self.work.progress_limit).min(time_left)
    }

    pub(super) async fn read_items(
        &mut self,
        mut items: ItemStream,
    ) -> Result<Result<AnswerEnd, AttemptLoss>, Refusal> {
        loop {
            let timeout = self.progress_timeout();
            let item = tokio::time::timeout(timeout.as_duration(), items.next()).await;
            let item = match item {
                Err(_) => return Ok(Err(AttemptLoss::TimedOut(timeout))),
                Ok(None) => return Ok(Err(broken_answer("the answer ended without an end mark"))),
                Ok(Some(Err(error))) => return Ok(Err(broken_answer(&error.to_string()))),
                Ok(Some(Ok(item))) => item,
            };
            match self.handle_item(item).await {
                Ok(None) => {}
                Ok(Some(end)) => return Ok(Ok(end)),
                Err(loss) => return Ok(Err(loss)),
            }
        }
    }

    pub(super) async fn handle_item(
        &mut self,
        item: StreamItem,
    ) -> Result<Option<AnswerEnd>, AttemptLoss> {
        match item {
            StreamItem::Token {
                request,
                attempt,
                position,
                text,
            } => {
                let verdict = self.answer.add_token(&request, attempt, position, &text);
                match verdict {
                    TokenVerdict::Next => self.deliver_token(text).await,
                    TokenVerdict::Dropped => self.context.metrics.dropped_items.inc(),
                    TokenVerdict::Gap => return Err(broken_answer("answer tokens are missing")),
                }
                Ok(None)
            }
            StreamItem::End {
                request,
                attempt,
                length,
                finish,
                prompt_tokens,
                cached_tokens,
            } => {
                if finish == FinishReason::Cancelled {
                    return Err(broken_answer("the engine cancelled the answer"));
                }
                match self.answer.add_end_mark(&request, attempt, length) {
                    EndVerdict::Complete => Ok(Some(AnswerEnd {
                        finish,
                        prompt_tokens,
                        cached_tokens,
                    })),
                    EndVerdict::Dropped => {
                        self.context.metrics.dropped_items.inc();
                        Ok(None)
                    }
                    EndVerdict::WrongLength => Err(broken_answer(
                        "the length in the end mark differs from the number of tokens received",
                    )),
                }
            }
        }
    }

    pub(super) async fn deliver_token(&mut self, text: String) {
        if self.answer.tokens().len() == 1 {
            let waited = self.context.now().since(self.started);
            let seconds = waited.as_duration().as_secs_f64();
            self.context.metrics.first_token.observe(seconds);
            if let Some(ticket) = &self.route_ticket {
                ticket.note_first_token();
            }
        }
        let _ = self.events.send(AnswerEvent::Token(text)).await;
    }
}

fn broken_answer(message: &str) -> AttemptLoss {
    AttemptLoss::Broken(message.to_string())
}
