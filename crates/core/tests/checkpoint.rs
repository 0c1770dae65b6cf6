//! A view that is restored from a checkpoint equals the view of the whole log.
//!
//! The logs are random with fixed seeds; `BLUEBELL_SEEDS=N` runs N seeds instead.

use bluebell_core::{
    checkpoint::{CheckpointReader, CheckpointSchedule, CheckpointWriter, KeptRange},
    clock::{ClockTime, TimeSpan},
    config::{KeyUnit, OrganisationUnit, UnitBody, UnitKind, UnitName},
    ids::{
        EndpointId, IdempotencyKey, InstanceId, KeyDigest, LogOffset, OrderId, OrganisationId,
        RequestFingerprint, RequestId, ServiceName, WriterId,
    },
    records::{
        ClaimBatch, ClaimSettlement, DrainMarkRecord, DutyName, IdempotencyClaim, IntentRecord,
        LeaseAction, LeaseRecord, LogEntry, LogRecord, MarkState, OrderBody, OrderOutcome,
        OutcomeRecord, PublishRecord, QuarantineRecord, SettledResult, SettlementBatch, UnitChange,
        UsageDelta, UsageLine, UsageWindow, WindowClose, WithdrawRecord,
    },
    units::{ByteSize, ShareWeight, TokenCount},
    view::FleetView,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(1_000);

fn seeds() -> u64 {
    let configured = std::env::var("BLUEBELL_SEEDS").ok();
    configured.and_then(|text| text.parse().ok()).unwrap_or(40)
}

struct RandomLog {
    random: ChaCha8Rng,
    entries: Vec<LogEntry>,
    view: FleetView,
    sequences: [u64; 3],
    writing: Option<CheckpointWriter>,
}

impl RandomLog {
    fn with_seed(seed: u64) -> RandomLog {
        RandomLog {
            random: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            view: FleetView::new(),
            sequences: [0; 3],
            writing: None,
        }
    }

    fn grow(&mut self, records: usize) {
        for _ in 0..records {
            match self.random.random_range(0..16) {
                0 | 1 => self.write_checkpoint(),
                2 => self.append_copy(),
                3 => {
                    let digest = KeyDigest::with_key(self.pick(&["k1", "k2", "k3"]));
                    let publisher = "op".to_string();
                    self.append(LogRecord::Withdraw(WithdrawRecord { digest, publisher }));
                }
                4..=8 => self.publish(),
                _ => {
                    let record = self.duty_record();
                    self.append(record);
                }
            }
        }
    }

    fn pick(&mut self, from: &[&'static str]) -> &'static str {
        from.choose(&mut self.random).expect("not empty")
    }

    fn append(&mut self, record: LogRecord) {
        let writer = self.random.random_range(0..3);
        self.sequences[writer] += 1;
        let sequence = self.sequences[writer];
        self.push(writer, sequence, record);
    }

    fn push(&mut self, writer: usize, sequence: u64, record: LogRecord) {
        let entry = LogEntry {
            offset: self.view.next_offset(),
            writer: WriterId::new(format!("writer-{writer}")).expect("valid"),
            sequence,
            record,
        };
        self.view.apply(NOW, &entry);
        self.entries.push(entry);
    }

    /// Appends a second copy of an earlier record, which readers must drop.
    fn append_copy(&mut self) {
        let Some(earlier) = self.entries.choose(&mut self.random).cloned() else {
            return;
        };
        let entry = LogEntry {
            offset: self.view.next_offset(),
            ..earlier
        };
        self.view.apply(NOW, &entry);
        self.entries.push(entry);
    }

    fn publish(&mut self) {
        let unit = match self.random.random_bool(0.5) {
            true => UnitName::new(UnitKind::Organisation, self.pick(&["a", "b", "c"])),
            false => UnitName::new(UnitKind::Key, self.pick(&["x", "y"])),
        };
        let unit = unit.expect("valid");
        let current = self.view.configuration.unit(&unit).map(|u| u.version);
        let base = match self.random.random_bool(0.8) {
            true => current,
            false => Some(LogOffset::new(self.random.random_range(0..20))),
        };
        let body = match (self.random.random_bool(0.2), unit.kind()) {
            (true, _) => None,
            (false, UnitKind::Key) => Some(UnitBody::Key(KeyUnit {
                organisation: OrganisationId::new(self.pick(&["a", "b"])).expect("valid"),
                digest: KeyDigest::with_key(self.pick(&["k1", "k2", "k3", "k4"])),
            })),
            (false, _) => Some(UnitBody::Organisation(OrganisationUnit {
                weight: ShareWeight::new(self.random.random_range(1..9)),
                services: Vec::new(),
                max_in_flight: 4,
            })),
        };
        let publisher = self.pick(&["ada", "ben"]).to_string();
        let changes = vec![UnitChange { unit, base, body }];
        self.append(LogRecord::Publish(PublishRecord { publisher, changes }));
    }

    fn duty_record(&mut self) -> LogRecord {
        let duty = match self.random.random_bool(0.5) {
            true => DutyName::Usage,
            false => DutyName::Fleet,
        };
        let held = self.view.leases.held(&duty).cloned();
        let fence = held.as_ref().map_or(LogOffset::START, |held| held.fence);
        let endpoint = EndpointId::new(self.pick(&["e1", "e2"])).expect("valid");
        let order = OrderId::new(self.pick(&["o1", "o2", "o3"])).expect("valid");
        let window = UsageWindow::new(self.random.random_range(1..6));
        match self.random.random_range(0..13) {
            0 => {
                let action = match (&held, self.random.random_range(0..4)) {
                    (Some(_), 0) => LeaseAction::Release { fence },
                    (Some(_), 1) => LeaseAction::Renew { fence },
                    _ => LeaseAction::Claim,
                };
                LogRecord::Lease(LeaseRecord {
                    duty,
                    holder: InstanceId::new(self.pick(&["i1", "i2"])).expect("valid"),
                    action,
                    duration: TimeSpan::from_secs(3),
                    supersedes: held.map(|held| held.latest),
                })
            }
            1 => {
                let body = OrderBody::StopEndpoint { endpoint };
                LogRecord::Intent(IntentRecord {
                    duty,
                    fence,
                    order,
                    body,
                })
            }
            2 => LogRecord::Outcome(OutcomeRecord {
                duty,
                fence,
                order,
                outcome: OrderOutcome::Applied,
            }),
            3 => {
                let state = match self.random.random_bool(0.6) {
                    true => MarkState::Leaving,
                    false => MarkState::Staying,
                };
                LogRecord::Mark(DrainMarkRecord {
                    endpoint,
                    state,
                    duty,
                    fence,
                })
            }
            4 => LogRecord::WindowClose(WindowClose { window, fence }),
            5 | 6 => LogRecord::Claims(ClaimBatch {
                claims: vec![IdempotencyClaim {
                    organisation: OrganisationId::new("a").expect("valid"),
                    key: IdempotencyKey::new(self.pick(&["c1", "c2", "c3"])).expect("valid"),
                    request: RequestId::new(self.pick(&["r1", "r2"])).expect("valid"),
                    fingerprint: RequestFingerprint::with_content(
                        &OrganisationId::new("a").expect("valid"),
                        self.pick(&["x", "y"]).as_bytes(),
                    ),
                    entry: InstanceId::new("i1").expect("valid"),
                }],
            }),
            11 | 12 => LogRecord::Quarantine(QuarantineRecord {
                fingerprint: RequestFingerprint::with_content(
                    &OrganisationId::new("a").expect("valid"),
                    self.pick(&["x", "y"]).as_bytes(),
                ),
                endpoint,
                incarnation: self.random.random_range(0..2),
                entry: InstanceId::new("i1").expect("valid"),
                cleared: self.random.random_bool(0.2),
            }),
            7 | 8 => LogRecord::Settlements(SettlementBatch {
                settlements: vec![ClaimSettlement {
                    organisation: OrganisationId::new("a").expect("valid"),
                    key: IdempotencyKey::new(self.pick(&["c1", "c2", "c3"])).expect("valid"),
                    request: RequestId::new(self.pick(&["r1", "r2"])).expect("valid"),
                    result: match self.random.random_bool(0.5) {
                        true => SettledResult::NotRun,
                        false => SettledResult::Unknown,
                    },
                }],
            }),
            _ => LogRecord::Usage(UsageDelta {
                entry: InstanceId::new("i1").expect("valid"),
                window,
                lines: vec![UsageLine {
                    organisation: OrganisationId::new(self.pick(&["a", "b"])).expect("valid"),
                    service: ServiceName::new("chat").expect("valid"),
                    requests: 1,
                    prompt_tokens: TokenCount::new(10),
                    output_tokens: TokenCount::new(5),
                }],
            }),
        }
    }

    /// Appends the next part of a checkpoint; sometimes abandons one halfway.
    fn write_checkpoint(&mut self) {
        if self.writing.is_none() || self.random.random_bool(0.1) {
            let fence = LogOffset::new(self.random.random_range(0..3));
            self.writing = CheckpointWriter::new(fence, &self.view, ByteSize::new(300));
        }
        let part = self.writing.as_mut().and_then(CheckpointWriter::next_part);
        match part {
            Some(part) => self.append(LogRecord::Checkpoint(part)),
            None => self.writing = None,
        }
    }
}

/// The view of a process that starts when the log keeps the entries from `first_kept`
/// on; `None` if they contain no usable checkpoint.
fn restored(entries: &[LogEntry], first_kept: usize) -> Option<FleetView> {
    let mut reader = CheckpointReader::with_items();
    for entry in &entries[first_kept..] {
        if let LogRecord::Checkpoint(part) = &entry.record {
            reader.apply(NOW, entry.offset, part);
        }
    }
    let checkpoint = reader.into_usable(LogOffset::new(first_kept as u64))?;
    let mut view = FleetView::with_checkpoint(NOW, checkpoint.as_of, &checkpoint.items);
    for entry in entries {
        view.apply(NOW, entry);
    }
    Some(view)
}

/// The log has dropped its oldest records when a new process starts. The restored view
/// must equal that of all other processes; otherwise a withdrawn key would be accepted
/// again, an older configuration would take effect, or a second copy of an append would
/// be applied.
#[test]
fn a_restored_view_equals_the_view_of_the_whole_log() {
    let mut restorations = 0;
    for seed in 0..seeds() {
        let mut log = RandomLog::with_seed(seed);
        log.grow(200);
        for end in 1..=log.entries.len() {
            let entries = &log.entries[..end];
            let first_kept = log.random.random_range(0..end);
            let Some(view) = restored(entries, first_kept) else {
                continue;
            };
            restorations += 1;
            let mut full_view = FleetView::new();
            for entry in entries {
                full_view.apply(NOW, entry);
            }
            assert_eq!(view.next_offset(), full_view.next_offset());
            assert_eq!(view.configuration, full_view.configuration, "seed {seed}");
            assert_eq!(view.keys, full_view.keys, "seed {seed}");
            assert_eq!(view.writers, full_view.writers, "seed {seed}");
            assert_eq!(view.leases, full_view.leases, "seed {seed}");
            assert_eq!(view.drain_marks, full_view.drain_marks, "seed {seed}");
            assert_eq!(view.quarantine, full_view.quarantine, "seed {seed}");
            assert_eq!(view.claims, full_view.claims, "seed {seed}");
            assert_eq!(view.usage, full_view.usage, "seed {seed}");
            let open = |view: &FleetView| -> Vec<_> {
                let orders = view.orders.open_orders();
                orders
                    .map(|(id, order)| (id.clone(), order.clone()))
                    .collect()
            };
            assert_eq!(open(&view), open(&full_view), "seed {seed}");
            assert_eq!(view.checkpoint(), full_view.checkpoint(), "seed {seed}");
        }
    }
    assert!(restorations > 100, "{restorations} restorations");
}

fn checkpoint_records(fence: u64, log: &RandomLog) -> Vec<LogRecord> {
    let fence = LogOffset::new(fence);
    let mut writer =
        CheckpointWriter::new(fence, &log.view, ByteSize::new(300)).expect("not empty");
    std::iter::from_fn(|| writer.next_part())
        .map(LogRecord::Checkpoint)
        .collect()
}

/// The holder of the `log` duty is frozen halfway through a checkpoint, and its
/// successor writes one too. Parts of both must not be combined into one checkpoint.
#[test]
fn parts_of_two_holders_do_not_form_a_checkpoint() {
    let mut log = RandomLog::with_seed(7);
    log.grow(60);
    let first = checkpoint_records(1, &log);
    let second = checkpoint_records(2, &log);
    assert!(first.len() >= 2, "the state must fill several parts");
    let mut reader = CheckpointReader::with_items();
    let mixed = first[..1].iter().chain(&second[1..]);
    for (number, record) in mixed.enumerate() {
        if let LogRecord::Checkpoint(part) = record {
            reader.apply(NOW, LogOffset::new(1_000 + number as u64), part);
        }
    }
    assert_eq!(reader.newest(), None);
}

/// Nothing is published for a long time while the log drops records by age: the
/// checkpoint itself would be dropped, and the next process to start would find none.
#[test]
fn a_checkpoint_is_due_by_count_by_time_and_by_the_kept_range() {
    let minute = TimeSpan::from_secs(60);
    let schedule = CheckpointSchedule::new(NOW, 1_000, minute);
    let kept = |first: u64, end: u64| KeptRange {
        first_kept: LogOffset::new(first),
        end: LogOffset::new(end),
    };
    let next = LogOffset::new(10);
    assert!(!schedule.is_due(NOW, next, kept(0, 10), None));
    assert!(schedule.is_due(NOW + minute, next, kept(0, 10), None));
    assert!(schedule.is_due(NOW, LogOffset::new(1_000), kept(0, 1_000), None));
    assert!(!schedule.is_due(NOW, LogOffset::new(200), kept(0, 200), None));
    assert!(schedule.is_due(NOW, LogOffset::new(200), kept(1, 200), None));
    assert!(!schedule.is_due(NOW + minute, LogOffset::START, kept(0, 0), None));
}

/// A late copy of a writer's record must be dropped by all readers or by none,
/// regardless of the number of writers: evictions from the table depend on the log
/// alone.
#[test]
fn the_writer_table_is_bounded_by_the_log_alone() {
    use bluebell_core::writers::{MAX_WRITERS, WriterTable};
    let writer = |n: usize| WriterId::new(format!("w-{n}")).expect("valid");
    let mut table = WriterTable::new();
    for n in 0..=MAX_WRITERS {
        assert!(table.accept(&writer(n), 1, LogOffset::new(n as u64)));
    }
    assert_eq!(table.last_record(&writer(0)), None);
    assert!(!table.accept(&writer(1), 1, LogOffset::new(MAX_WRITERS as u64 + 1)));
    assert_eq!(table.checkpoint().len(), MAX_WRITERS);
}
