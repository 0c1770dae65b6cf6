//! Sending this entry's state to the other instances, and receiving theirs.

use std::{collections::BTreeSet, io, sync::Arc, time::Duration};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::FailureDomain,
    placement::SpeedSource,
    quarantine::{CrashReport, PartReport, ReportScope},
    records::UsageWindow,
};
use bluebell_daemon::logs::LogLine;
use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::UdpSocket;
use tokio_util::{codec::BytesCodec, udp::UdpFramed};

use crate::{
    context::EntryContext,
    leader::{self, UsageRecord},
    peers::{
        messages::{PeerMessage, PerTargetMessage, StageMessage},
        registry::local_address,
        relay,
        relay_messages::RelayMessage,
        speeds,
        targets::{BroadcastTarget, TargetSelector},
    },
};

/// The broadcast interval without other instances; it grows with their number. A prefill
/// takes 15 to 200 ms, and load reports that are older than that lead to wrong decisions.
const MIN_INTERVAL: Duration = Duration::from_millis(60);

/// By how much the broadcast interval grows with each other instance. An entry receives
/// some 260 messages a second with 70 instances, and 440 at most with more; these take 1
/// in 100 of a core.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(3);

/// The longest broadcast interval: messages are valid for some seconds only.
const MAX_INTERVAL: Duration = Duration::from_millis(800);

/// The shortest time between two broadcasts, also if usage has to be reported early.
const MIN_BROADCAST_GAP: Duration = Duration::from_millis(100);

/// The number of entries up to which all engines are considered for each request. The
/// number of placements that are not yet known here grows with the number of entries and
/// with their broadcast interval, which grows with that number too. So the share of engines
/// that is considered falls with the square of the number of entries.
const MAX_ENTRIES_FOR_ALL_ENGINES: f64 = 10.0;

/// How often an entry without updates sends a heartbeat.
const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// The same while organisations have limits: an instance without datagrams for longer
/// than that may be partitioned, and then uses its own part of the limits.
const HEARTBEAT_INTERVAL_WITH_LIMITS: TimeSpan = TimeSpan::from_millis(300);

/// How often the reader of a failure domain relays the state of the store to the others
/// there, and they send it their usage counts and a stamp for it to echo.
const SAME_DOMAIN_INTERVAL: Duration = Duration::from_millis(250);

/// How often usage counts are sent to the reader of the failure domain.
const USAGE_REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// How often usage of limits that no longer matters is forgotten.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);

/// How often other instances are asked for what they know of software versions, while that is
/// not known here.
const PROOF_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// The socket and schedule with which one entry exchanges messages with the others.
pub struct PeerBroadcaster {
    pub(super) context: Arc<EntryContext>,
    frames: UdpFramed<BytesCodec, Arc<UdpSocket>>,
    broadcast_sent_at: ClockTime,
    selector: TargetSelector,
    usage_sent_at: ClockTime,
    /// The first window whose counts could still change then.
    usage_window_sent: UsageWindow,
    swept_at: ClockTime,
    proofs_asked_at: ClockTime,
    /// Whether the last broadcast reported any load.
    has_sent_load: bool,
    /// The failure domains that were unreachable at the last broadcast.
    unreachable_domains: BTreeSet<FailureDomain>,
}

impl PeerBroadcaster {
    /// Binds the socket for datagrams.
    pub async fn bind(context: Arc<EntryContext>) -> io::Result<PeerBroadcaster> {
        let socket = Arc::new(UdpSocket::bind(local_address(&context)).await?);
        context.streams.set_socket(Arc::clone(&socket));
        context.engine_loads.set_socket(Arc::clone(&socket));
        let instance = context.writer.instance.clone();
        let selector = TargetSelector::new(instance, context.settings.domain.clone());
        Ok(PeerBroadcaster {
            context,
            frames: UdpFramed::new(socket, BytesCodec::new()),
            broadcast_sent_at: ClockTime::default(),
            selector,
            usage_sent_at: ClockTime::default(),
            usage_window_sent: UsageWindow::new(0),
            swept_at: ClockTime::default(),
            proofs_asked_at: ClockTime::default(),
            has_sent_load: false,
            unreachable_domains: BTreeSet::new(),
        })
    }

    /// Sends and receives; returns only if the socket is closed.
    pub async fn run(mut self) {
        let mut broadcast_at = tokio::time::Instant::now();
        let mut same_domain_at = broadcast_at;
        let mut sent_at = broadcast_at;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(same_domain_at) => {
                    let is_due = self.interval() > SAME_DOMAIN_INTERVAL;
                    if is_due {
                        self.send_within_domain().await;
                    }
                    same_domain_at = tokio::time::Instant::now() + SAME_DOMAIN_INTERVAL;
                }
                () = self.context.wake.notified() => {
                    // A change that the others of the failure domain wait for.
                    if self.context.is_reader() {
                        self.send_within_domain().await;
                    }
                }
                () = self.context.report_due.notified() => {
                    broadcast_at = broadcast_at.min(sent_at + MIN_BROADCAST_GAP);
                }
                () = tokio::time::sleep_until(broadcast_at) => {
                    self.broadcast().await;
                    sent_at = tokio::time::Instant::now();
                    broadcast_at = sent_at + self.interval();
                }
                received = self.frames.next() => match received {
                    Some(Ok((bytes, from))) => self.receive(&bytes, from),
                    // An error of one datagram, such as one that its recipient rejected,
                    // does not concern later ones.
                    Some(Err(error)) => log::debug!("event=datagram_failed error={error:?}"),
                    None => return,
                },
            }
        }
    }

    fn interval(&self) -> Duration {
        let others = self.context.peers.lock().len() as u32;
        (MIN_INTERVAL + INTERVAL_PER_PEER * others).min(MAX_INTERVAL)
    }

    async fn broadcast(&mut self) {
        let now = self.context.now();
        self.update_unreachable_domains(now);
        self.context.update_state_ages(now);
        self.context.update_budget_share();
        self.context.update_endpoint_limits();
        let interval = TimeSpan::from_millis(self.interval().as_millis() as u64);
        self.context.update_fleet_size(interval);
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.context.limiter.lock().sweep(now);
            self.context.quarantine.lock().sweep(now);
            self.context.prompt_parts.lock().sweep(now);
            self.context.broken_runs.lock().sweep(now);
            self.context.endpoint_limits.lock().sweep(now);
            self.context.endpoint_notices.lock().sweep(now);
            self.context.streams.sweep(now);
            self.context.directory.lock().versions_mut().sweep(now);
            self.context.engines.lock().sweep_speeds(now);
            speeds::update_speed_metrics(&self.context);
        }
        self.update_streams(now);
        let entries = self.context.peers.lock().len() + 1;
        let share = (MAX_ENTRIES_FOR_ALL_ENGINES / entries as f64).powi(2);
        self.context.engines.lock().set_candidate_share(share);
        speeds::note_samples(&self.context);
        let is_in_doubt = self.context.reach.lock().is_any_in_doubt(now);
        let (loads, parts, refusing) = {
            let mut engines = self.context.engines.lock();
            // What this instance does not reach may work for all others.
            let refusing = match is_in_doubt {
                true => Vec::new(),
                false => engines.refusing(now),
            };
            (engines.local_loads(), engines.take_unsent_parts(), refusing)
        };
        let stages = self.context.peers.lock().stage_orders(now);
        let relay = relay::message(&self.context, now);
        let is_cross_domain = self.context.is_representative(now) || !stages.is_empty();
        let usages = self.context.limiter.lock().local_reports(now);
        let has_load = !loads.is_empty() || !refusing.is_empty() || relay.is_some();
        let crashes = match is_in_doubt {
            true => Vec::new(),
            false => self.take_crash_reports(now, ReportScope::Direct),
        };
        let prompt_parts = match is_in_doubt {
            true => Vec::new(),
            false => self.take_part_reports(now, ReportScope::Direct),
        };
        let has_crashes = !crashes.is_empty() || !prompt_parts.is_empty();
        let speeds = speeds::speed_messages(&self.context, now, SpeedSource::Samples);
        let has_news = !parts.is_empty() || !usages.is_empty() || has_crashes;
        let has_update = has_load || has_news || is_cross_domain || self.has_sent_load;
        let heartbeat_interval = match self.context.limiter.lock().has_limits() {
            true => HEARTBEAT_INTERVAL_WITH_LIMITS,
            false => HEARTBEAT_INTERVAL,
        };
        if !has_update && now.since(self.broadcast_sent_at) < heartbeat_interval {
            return;
        }
        self.broadcast_sent_at = now;
        self.has_sent_load = !loads.is_empty();
        let message = PeerMessage::new(&loads, &parts)
            .with_stages(stages.clone())
            .with_demands(&self.context.demands.lock().local(now))
            .with_usages(&usages)
            .with_refusing(refusing.clone())
            .with_crashes(&crashes)
            .with_prompt_parts(&prompt_parts)
            .with_speeds(speeds);
        let targets = self
            .selector
            .broadcast_targets(now, &self.context.peers.lock());
        self.send(now, message, relay, &targets).await;
        self.send_remaining_changes(now, targets).await;
        if is_cross_domain {
            self.send_to_other_domains(now, stages, refusing).await;
        }
    }

    /// Records streams with other instances where that has become necessary, and has some of
    /// them prove which services had a single version before this process started.
    fn update_streams(&mut self, now: ClockTime) {
        let context = &self.context;
        let local = context.local_recorder();
        let peers = || context.record_peers();
        context
            .streams
            .record_due(now, &context.directory, &local, peers);
        let is_due = now.since(self.proofs_asked_at) >= PROOF_INTERVAL;
        if !is_due || !context.directory.lock().versions().needs_proof(now) {
            return;
        }
        self.proofs_asked_at = now;
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let peers = context.record_peers();
            let (clock, directory) = (&context.clock, &context.directory);
            context.streams.prove(clock, directory, &peers).await;
        });
    }

    /// Sends the state of this failure domain to other ones, if not all instances send to
    /// each other. Loads are left out: they change before the message arrives.
    async fn send_to_other_domains(
        &mut self,
        now: ClockTime,
        stages: Vec<StageMessage>,
        refusing: Vec<u64>,
    ) {
        let targets = self
            .selector
            .cross_domain_targets(now, &self.context.peers.lock());
        if targets.is_empty() {
            return;
        }
        let (entries, usages) = {
            let mut limiter = self.context.limiter.lock();
            (
                limiter.represented_entries(now),
                limiter.domain_reports(now),
            )
        };
        let message = PeerMessage::without_loads()
            .with_stages(stages)
            .with_refusing(refusing)
            .with_domain_usages(entries, &usages)
            .with_crashes(&self.take_crash_reports(now, ReportScope::OtherDomains))
            .with_prompt_parts(&self.take_part_reports(now, ReportScope::OtherDomains))
            .with_speeds(speeds::speed_messages(
                &self.context,
                now,
                SpeedSource::SameDomain,
            ))
            .with_domain_demands(&self.context.demands.lock().directly_reported(now));
        self.send(now, message, None, &targets).await;
    }

    /// Sends the changes that did not fit into the last datagram. Without them, all
    /// instances of the failure domain would read all registrations from the store at once.
    async fn send_remaining_changes(&mut self, now: ClockTime, mut targets: Vec<BroadcastTarget>) {
        targets.retain(|target| target.is_same_domain);
        while self.context.peers.lock().has_due_changes(now)
            && let Some(relay) = relay::message(&self.context, now)
        {
            let message = PeerMessage::without_loads();
            self.send(now, message, Some(relay), &targets).await;
        }
    }

    /// Updates the failure domains whose endpoints are avoided as unreachable, and logs
    /// changes.
    ///
    /// A request that is sent to an unreachable domain waits for its timeout. Missing
    /// messages from all instances there show the partition before the first request has
    /// timed out.
    fn update_unreachable_domains(&mut self, now: ClockTime) {
        let unreachable = self.context.peers.lock().unreachable_domains(now);
        if unreachable == self.unreachable_domains {
            return;
        }
        for domain in unreachable.difference(&self.unreachable_domains) {
            LogLine::new("domain_lost")
                .with("failure_domain", domain)
                .warn();
        }
        for domain in self.unreachable_domains.difference(&unreachable) {
            LogLine::new("domain_regained")
                .with("failure_domain", domain)
                .info();
        }
        self.context
            .engines
            .lock()
            .set_unreachable_domains(unreachable.clone());
        self.context
            .replicas
            .lock()
            .set_unreachable_domains(unreachable.clone());
        self.unreachable_domains = unreachable;
    }

    /// Sends within the failure domain only: from the reader the state of the store to all
    /// others, from the others a heartbeat to the reader.
    async fn send_within_domain(&mut self) {
        let now = self.context.now();
        let relay = relay::message(&self.context, now);
        let mut targets = self
            .selector
            .same_domain_targets(now, &self.context.peers.lock());
        let is_reader = relay.is_some();
        targets.retain(|target| is_reader || target.is_reader);
        let message = PeerMessage::without_loads();
        self.send(now, message, relay, &targets).await;
        self.send_remaining_changes(now, targets).await;
    }

    async fn send(
        &mut self,
        now: ClockTime,
        message: PeerMessage,
        relay: Option<RelayMessage>,
        targets: &[BroadcastTarget],
    ) {
        let writer = &self.context.writer;
        let domain = &self.context.settings.domain;
        let mut message = message.with_sender(writer, domain, now.as_millis());
        message.unreachable = {
            let reach = self.context.reach.lock();
            reach.unreachable().map(ToString::to_string).collect()
        };
        let shared = message.encode_to_vec();
        let usage = self.usage_due(now);
        for target in targets {
            let per_target = PerTargetMessage {
                echo: target.stamp.millis,
                echo_start: target.stamp.start,
                relay: relay.clone().filter(|_| target.is_same_domain),
                usage: usage.clone().filter(|_| target.is_reader),
            };
            let mut bytes = BytesMut::from(&shared[..]);
            bytes.extend_from_slice(&per_target.encode_to_vec());
            let address = target.address;
            if let Err(error) = self.frames.send((bytes.freeze(), address)).await {
                log::debug!("event=datagram_failed address={address} error={error:?}");
            }
        }
    }

    /// The usage counts of this entry if they are due to be sent to the reader.
    fn usage_due(&mut self, now: ClockTime) -> Option<UsageRecord> {
        let window = leader::unsettled_window(&self.context);
        let is_recent = now.since(self.usage_sent_at) < USAGE_REPORT_INTERVAL;
        if is_recent && window == self.usage_window_sent {
            return None;
        }
        self.usage_sent_at = now;
        self.usage_window_sent = window;
        Some(leader::recent_usage(&self.context))
    }

    fn take_crash_reports(&self, now: ClockTime, scope: ReportScope) -> Vec<CrashReport> {
        self.context.quarantine.lock().take_reports(now, scope)
    }

    fn take_part_reports(&self, now: ClockTime, scope: ReportScope) -> Vec<PartReport> {
        self.context.prompt_parts.lock().take_reports(now, scope)
    }
}
