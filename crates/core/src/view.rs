//! What one process knows from the log: every slice's state, at one offset.
//!
//! All processes fold the same entries in the same order, so any two views at
//! the same offset agree on configuration, leases, claims and usage, however
//! the entries reached them (read from the platform or relayed by a peer).

use crate::{
    authority::LeaseState,
    checkpoint::CheckpointReader,
    claims::ClaimState,
    clock::ClockTime,
    draining::DrainMarks,
    ids::{EndpointId, KeyDigest, LogOffset, OrganisationId},
    keys::KeyState,
    orders::OrderState,
    publication::{ConfigurationState, PublishRefusal},
    quarantine::QuarantineState,
    records::{
        CheckpointItem, LogEntry, LogRecord, OrderBody, OrderOutcome, OutcomeRecord, WithdrawRecord,
    },
    usage::UsageState,
    writers::WriterTable,
};

/// What changed by applying an entry, for those who must act at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewEvent {
    /// A publish took effect.
    Published {
        /// Where it stands.
        offset: LogOffset,
    },
    /// A publish was refused by the reader's rule.
    PublishRefused {
        /// Where it stands.
        offset: LogOffset,
        /// Why.
        refusal: PublishRefusal,
    },
    /// A key admits nobody any more; its running work ends.
    KeyRevoked {
        /// Its digest.
        digest: KeyDigest,
    },
    /// An endpoint's mark changed.
    Marked {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// The fold of the log up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct FleetView {
    next: LogOffset,
    /// The last record of each writer.
    pub writers: WriterTable,
    /// Configuration in force.
    pub configuration: ConfigurationState,
    /// Keys in force.
    pub keys: KeyState,
    /// Duties and their holders.
    pub leases: LeaseState,
    /// Orders, open and done.
    pub orders: OrderState,
    /// Claimed idempotency keys.
    pub claims: ClaimState,
    /// Leaving endpoints.
    #[serde(rename = "marks")]
    pub drain_marks: DrainMarks,
    /// Metered usage.
    pub usage: UsageState,
    /// Quarantined requests.
    pub quarantine: QuarantineState,
    /// Parts of a checkpoint that is being read.
    pub checkpoint: CheckpointReader,
}

impl FleetView {
    /// The view before the log's first entry.
    pub fn new() -> FleetView {
        FleetView::default()
    }

    /// The offset of the next entry to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Whether everything up to and with `offset` has been applied.
    pub fn has_applied(&self, offset: LogOffset) -> bool {
        offset < self.next
    }

    /// Whether `offset` is the next to apply. A later one means that the log has
    /// forgotten what lies between, or that a relay left it out: applying it
    /// would lose a publish or a claim without anyone noticing, so it must be
    /// read or restored from a checkpoint first.
    pub fn is_next(&self, offset: LogOffset) -> bool {
        offset == self.next
    }

    /// Applies an entry. One that has been applied is passed over; so is the
    /// second copy of an append whose answer was lost, and an entry beyond the
    /// next (see [`FleetView::is_next`]).
    pub fn apply(&mut self, now: ClockTime, entry: &LogEntry) -> Vec<ViewEvent> {
        if !self.is_next(entry.offset) {
            return Vec::new();
        }
        self.next = entry.offset.next();
        let counts = self
            .writers
            .accept(&entry.writer, entry.sequence, entry.offset);
        if !counts {
            return Vec::new();
        }
        self.apply_record(now, entry.offset, &entry.record)
    }

    /// The organisation that a key admits: granted, and not withdrawn.
    pub fn key_organisation(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        if self.keys.is_withdrawn(digest) {
            return None;
        }
        self.configuration.organisation_of(digest)
    }

    /// The live state as checkpoint items: that after applying everything before
    /// [`FleetView::next_offset`].
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let mut items = self.configuration.checkpoint();
        items.extend(self.keys.checkpoint());
        items.extend(self.writers.checkpoint());
        items.extend(self.leases.checkpoint());
        items.extend(self.orders.checkpoint());
        items.extend(self.drain_marks.checkpoint());
        items.extend(self.usage.checkpoint());
        items.extend(self.claims.checkpoint());
        items.extend(self.quarantine.checkpoint());
        items
    }

    /// The view after everything up to and with `as_of`, from the items of a
    /// complete checkpoint that were read at `now`.
    pub fn with_checkpoint<'a, Items>(now: ClockTime, as_of: LogOffset, items: Items) -> FleetView
    where
        Items: IntoIterator<Item = &'a CheckpointItem>,
    {
        let mut view = FleetView::new();
        view.next = as_of.next();
        for item in items {
            view.configuration.restore(item);
            view.keys.restore(item);
            view.writers.restore(item);
            view.leases.restore(now, item);
            view.orders.restore(now, item);
            view.drain_marks.restore(now, item);
            view.usage.restore(now, item);
            view.claims.restore(now, item);
            view.quarantine.restore(now, item);
        }
        view
    }

    /// Takes over from `former`, an earlier view: what was withdrawn there stays
    /// withdrawn. Answers what changed, as if the entries between had been read.
    pub fn take_over(&mut self, former: &FleetView) -> Vec<ViewEvent> {
        self.keys.keep_withdrawn(&former.keys);
        let offset = self.next;
        let admitted = former.configuration.key_digests();
        let lost = admitted.filter(|digest| {
            let before = former.key_organisation(digest);
            before.is_some() && before != self.key_organisation(digest)
        });
        let lost = lost.map(|digest| ViewEvent::KeyRevoked {
            digest: digest.clone(),
        });
        let marked = self.drain_marks.iter().chain(former.drain_marks.iter());
        let marked = marked.map(|(endpoint, _)| ViewEvent::Marked {
            endpoint: endpoint.clone(),
        });
        std::iter::once(ViewEvent::Published { offset })
            .chain(lost)
            .chain(marked)
            .collect()
    }

    fn apply_record(
        &mut self,
        now: ClockTime,
        offset: LogOffset,
        record: &LogRecord,
    ) -> Vec<ViewEvent> {
        match record {
            LogRecord::Publish(publish) => match self.configuration.apply(offset, publish) {
                Ok(lost) => {
                    let lost = lost
                        .into_iter()
                        .map(|digest| ViewEvent::KeyRevoked { digest });
                    std::iter::once(ViewEvent::Published { offset })
                        .chain(lost)
                        .collect()
                }
                Err(refusal) => vec![ViewEvent::PublishRefused { offset, refusal }],
            },
            LogRecord::Withdraw(withdrawal) => self.withdraw(withdrawal),
            LogRecord::Checkpoint(part) => {
                self.checkpoint.apply(now, offset, part);
                Vec::new()
            }
            LogRecord::Lease(lease) => {
                self.leases.apply(now, offset, lease);
                Vec::new()
            }
            LogRecord::Intent(intent) => {
                self.orders.intend(now, offset, intent, &self.leases);
                Vec::new()
            }
            LogRecord::Outcome(outcome) => {
                self.settle(now, offset, outcome);
                Vec::new()
            }
            LogRecord::Claims(batch) => {
                self.claims.claim(now, offset, batch);
                Vec::new()
            }
            LogRecord::Settlements(batch) => {
                self.claims.settle(now, offset, batch);
                Vec::new()
            }
            LogRecord::Mark(mark) => {
                self.drain_marks.apply(now, offset, mark, &self.leases);
                vec![ViewEvent::Marked {
                    endpoint: mark.endpoint.clone(),
                }]
            }
            LogRecord::Usage(delta) => {
                self.usage.meter(now, offset, delta);
                Vec::new()
            }
            LogRecord::WindowClose(close) => {
                self.usage.close(now, offset, close, &self.leases);
                Vec::new()
            }
            LogRecord::Quarantine(quarantine) => {
                self.quarantine.apply(now, offset, quarantine);
                Vec::new()
            }
        }
    }

    fn settle(&mut self, now: ClockTime, offset: LogOffset, outcome: &OutcomeRecord) {
        let settled = self.orders.settle(now, offset, outcome, &self.leases);
        let Some(OrderBody::ReportUsage { window }) = settled else {
            return;
        };
        if outcome.outcome == OrderOutcome::Applied {
            self.usage.reported(window);
        }
    }

    /// Takes a withdrawal, read from the log or told by a peer while the log is
    /// down. It is monotone, so its place in the log does not matter.
    pub fn withdraw(&mut self, withdrawal: &WithdrawRecord) -> Vec<ViewEvent> {
        if !self.keys.withdraw(withdrawal) {
            return Vec::new();
        }
        vec![ViewEvent::KeyRevoked {
            digest: withdrawal.digest.clone(),
        }]
    }
}
