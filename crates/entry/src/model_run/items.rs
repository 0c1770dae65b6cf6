//! Reading an attempt's items, and passing tokens on to the answer's body.

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
    /// How long nothing may come. Before the first token an engine may be busy
    /// with long prompts, so half of what is left until the deadline is allowed.
    pub(super) fn silence_limit(&self) -> TimeSpan {
        if !self.answer.tokens().is_empty() {
            return self.work.progress_limit;
        }
        let left = self.work.deadline.since(self.context.now());
        let half = TimeSpan::from_millis(left.as_millis() / 2);
        half.max(self.work.progress_limit).min(left)
    }

    pub(super) async fn read(
        &mut self,
        mut items: ItemStream,
    ) -> Result<Result<AnswerEnd, AttemptLoss>, Refusal> {
        loop {
            let limit = self.silence_limit();
            let item = tokio::time::timeout(limit.as_duration(), items.next()).await;
            let item = match item {
                Err(_) => return Ok(Err(AttemptLoss::Silent(limit))),
                Ok(None) => return Ok(Err(broken("the answer ended without an end mark"))),
                Ok(Some(Err(error))) => return Ok(Err(broken(&error.to_string()))),
                Ok(Some(Ok(item))) => item,
            };
            match self.take(item).await {
                Ok(None) => {}
                Ok(Some(end)) => return Ok(Ok(end)),
                Err(loss) => return Ok(Err(loss)),
            }
        }
    }

    pub(super) async fn take(
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
                    TokenVerdict::Next => self.pass_on(text).await,
                    TokenVerdict::Dropped => self.context.metrics.dropped_items.inc(),
                    TokenVerdict::Gap => return Err(broken("tokens are missing")),
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
                    return Err(broken("the engine cancelled the answer"));
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
                    EndVerdict::WrongLength => Err(broken("the end mark has another length")),
                }
            }
        }
    }

    pub(super) async fn pass_on(&mut self, text: String) {
        if self.answer.tokens().len() == 1 {
            let waited = self.context.now().since(self.started);
            let seconds = waited.as_duration().as_secs_f64();
            self.context.metrics.first_token.observe(seconds);
            if let Some(ticket) = &self.route {
                ticket.note_first_token();
            }
        }
        let _ = self.events.send(AnswerEvent::Token(text)).await;
    }
}

fn broken(message: &str) -> AttemptLoss {
    AttemptLoss::Broken(message.to_string())
}
