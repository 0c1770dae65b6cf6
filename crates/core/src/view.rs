//! The state of all modules that is derived from the log, at one offset.
//!
//! All processes apply the same entries in the same order, so any two views at the same
//! offset agree on configuration, leases, claims and usage, whether the entries were
//! read from the platform or relayed by a peer.

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

/// A change made by applying an entry, for components that must react at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewEvent {
    /// A publish took effect.
    Published {
        /// The offset of the publish.
        offset: LogOffset,
    },
    /// A publish was refused, by the rule that all readers apply.
    PublishRefused {
        /// The offset of the publish.
        offset: LogOffset,
        /// The reason.
        refusal: PublishRefusal,
    },
    /// A key is no longer valid; running requests with it are to be ended.
    KeyRevoked {
        /// The digest of the key.
        digest: KeyDigest,
    },
    /// The drain mark of an endpoint changed.
    Marked {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// The state that results from applying the log up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct FleetView {
    next: LogOffset,
    /// The last record of each writer, by which repeated appends are detected.
    pub writers: WriterTable,
    /// The current configuration.
    pub configuration: ConfigurationState,
    /// Withdrawn keys.
    pub keys: KeyState,
    /// The leases of duties.
    pub leases: LeaseState,
    /// Open and settled orders.
    pub orders: OrderState,
    /// Claims of idempotency keys.
    pub claims: ClaimState,
    /// Drain marks of endpoints.
    #[serde(rename = "marks")]
    pub drain_marks: DrainMarks,
    /// Metered usage by window.
    pub usage: UsageState,
    /// Suspect and quarantined requests.
    pub quarantine: QuarantineState,
    /// Checkpoints that have been read, complete or in part.
    pub checkpoint: CheckpointReader,
}

impl FleetView {
    /// Creates the view before the first entry of the log.
    pub fn new() -> FleetView {
        FleetView::default()
    }

    /// The offset of the next entry to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Whether all entries up to and including `offset` have been applied.
    pub fn has_applied(&self, offset: LogOffset) -> bool {
        offset < self.next
    }

    /// Whether `offset` is the next one to apply. A later one means that the log has dropped
    /// the entries between, or that a relay omitted them. Applying it would lose a publish
    /// or a claim silently, so the gap must first be read or restored from a checkpoint.
    pub fn is_next(&self, offset: LogOffset) -> bool {
        offset == self.next
    }

    /// Applies an entry and returns the resulting changes. Ignores an entry that has been
    /// applied already, the second copy of an append whose answer was lost, and an entry
    /// beyond the next one (see [`FleetView::is_next`]).
    pub fn apply(&mut self, now: ClockTime, entry: &LogEntry) -> Vec<ViewEvent> {
        if !self.is_next(entry.offset) {
            return Vec::new();
        }
        self.next = entry.offset.next();
        let is_first_copy = self
            .writers
            .accept(&entry.writer, entry.sequence, entry.offset);
        if !is_first_copy {
            return Vec::new();
        }
        self.apply_record(now, entry.offset, &entry.record)
    }

    /// The organisation of a key that is granted and not withdrawn.
    pub fn key_organisation(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        if self.keys.is_withdrawn(digest) {
            return None;
        }
        self.configuration.organisation_of(digest)
    }

    /// Returns the live state as checkpoint items. It includes all entries before
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

    /// Creates the view after all entries up to and including `as_of`, from the items of a
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

    /// Replaces `former`, an earlier view: its withdrawn keys stay withdrawn. Returns the
    /// changes since that view, as if the entries between had been applied.
    pub fn take_over(&mut self, former: &FleetView) -> Vec<ViewEvent> {
        self.keys.keep_withdrawn(&former.keys);
        let offset = self.next;
        let granted = former.configuration.key_digests();
        let revoked = granted.filter(|digest| {
            let before = former.key_organisation(digest);
            before.is_some() && before != self.key_organisation(digest)
        });
        let revoked = revoked.map(|digest| ViewEvent::KeyRevoked {
            digest: digest.clone(),
        });
        let marked = self.drain_marks.iter().chain(former.drain_marks.iter());
        let marked = marked.map(|(endpoint, _)| ViewEvent::Marked {
            endpoint: endpoint.clone(),
        });
        std::iter::once(ViewEvent::Published { offset })
            .chain(revoked)
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
                Ok(revoked) => {
                    let revoked = revoked
                        .into_iter()
                        .map(|digest| ViewEvent::KeyRevoked { digest });
                    std::iter::once(ViewEvent::Published { offset })
                        .chain(revoked)
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
            self.usage.note_reported(window);
        }
    }

    /// Applies a withdrawal that was read from the log, or received from a peer while the log
    /// is unavailable. A withdrawal is final, so its offset does not matter.
    pub fn withdraw(&mut self, withdrawal: &WithdrawRecord) -> Vec<ViewEvent> {
        if !self.keys.withdraw(withdrawal) {
            return Vec::new();
        }
        vec![ViewEvent::KeyRevoked {
            digest: withdrawal.digest.clone(),
        }]
    }
}
