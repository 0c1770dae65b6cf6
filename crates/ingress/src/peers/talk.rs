//! Telling the other instances, and listening to them.

use std::{collections::BTreeSet, io, net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, ServiceName},
    provision::EngineDemand,
};
use bluebell_daemon::logs::LogLine;
use bytes::BytesMut;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::UdpSocket;
use tokio_util::{codec::BytesCodec, udp::UdpFramed};

use crate::{
    context::EntryContext,
    peers::{
        messages::{DemandMessage, PeerMessage, ReceiverPart, RelayMessage, StageMessage},
        receivers::{ReceiverChoice, WordReceiver},
        registry::own_address,
        relay,
        table::KnownPeer,
    },
    steward::{self, UsageRecord},
};

/// How often an entry tells the others what it has, with few of them. A prefill
/// takes 15 to 200 ms; a picture that is older than that misleads.
const TELL_INTERVAL: Duration = Duration::from_millis(60);

/// By how much the interval grows with each other instance. An entry hears some
/// 260 words a second with 70 instances, 440 at most with more: 1 in 100 of a core.
const INTERVAL_FOR_EACH: Duration = Duration::from_millis(3);

/// The longest interval: words count for some seconds only.
const LONGEST_INTERVAL: Duration = Duration::from_millis(800);

/// Up to how many entries all engines are considered for each request. What the
/// others decide before they are heard grows with their number and with the interval
/// at which they tell, which grows with their number too; so the share that is
/// considered falls with the square of it.
const ALL_CONSIDERED_BY: f64 = 10.0;

/// How often an entry with nothing to tell says that it is there.
const BEAT: TimeSpan = TimeSpan::from_millis(1_000);

/// How often the reader of a failure domain tells the others there what it knows,
/// and they tell it what they counted, with a stamp for it to name.
const NEAR_INTERVAL: Duration = Duration::from_millis(250);

/// How often the reader of the failure domain is told what was counted.
const USAGE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// The talk of one entry.
pub struct PeerTalk {
    context: Arc<EntryContext>,
    frames: UdpFramed<BytesCodec>,
    told_at: ClockTime,
    choice: ReceiverChoice,
    told_usage_at: ClockTime,
    /// Whether the others last heard that this entry has something.
    has_told_load: bool,
    /// The failure domains that seem to be cut off from here.
    silent_domains: BTreeSet<FailureDomain>,
}

impl PeerTalk {
    /// Listens.
    pub async fn bind(context: Arc<EntryContext>) -> io::Result<PeerTalk> {
        let socket = UdpSocket::bind(own_address(&context)).await?;
        let instance = context.writer.instance.clone();
        let choice = ReceiverChoice::new(instance, context.settings.domain.clone());
        Ok(PeerTalk {
            context,
            frames: UdpFramed::new(socket, BytesCodec::new()),
            told_at: ClockTime::default(),
            choice,
            told_usage_at: ClockTime::default(),
            has_told_load: false,
            silent_domains: BTreeSet::new(),
        })
    }

    /// Tells and listens for good.
    pub async fn run(mut self) {
        let mut tell_at = tokio::time::Instant::now();
        let mut near_at = tell_at;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(near_at) => {
                    let is_due = self.interval() > NEAR_INTERVAL;
                    if is_due {
                        self.tell_near().await;
                    }
                    near_at = tokio::time::Instant::now() + NEAR_INTERVAL;
                }
                () = self.context.wake.notified() => {
                    // Something changed that the others wait for.
                    if self.context.is_reader() {
                        self.tell_near().await;
                    }
                }
                () = tokio::time::sleep_until(tell_at) => {
                    self.tell().await;
                    tell_at = tokio::time::Instant::now() + self.interval();
                }
                received = self.frames.next() => match received {
                    Some(Ok((bytes, from))) => self.hear(&bytes, from),
                    // An error of one datagram, such as one that its receiver
                    // rejected, says nothing about the next.
                    Some(Err(error)) => log::debug!("event=datagram_failed error={error:?}"),
                    None => return,
                },
            }
        }
    }

    fn interval(&self) -> Duration {
        let others = self.context.peers.lock().len() as u32;
        (TELL_INTERVAL + INTERVAL_FOR_EACH * others).min(LONGEST_INTERVAL)
    }

    async fn tell(&mut self) {
        let now = self.context.now();
        self.note_silent_domains(now);
        self.context.share_budget();
        let entries = self.context.peers.lock().len() + 1;
        let share = (ALL_CONSIDERED_BY / entries as f64).powi(2);
        self.context.engines.lock().set_considered(share);
        let (loads, parts, refusing) = {
            let mut engines = self.context.engines.lock();
            let refusing = engines.refusing(now);
            (engines.own_loads(), engines.take_untold(), refusing)
        };
        let stages = self.context.peers.lock().stage_orders(now);
        let relay = relay::message(&self.context, now);
        let speaks = self.speaks_for_domain(now) || !stages.is_empty();
        let has_load = !loads.is_empty() || !refusing.is_empty() || relay.is_some();
        let has_news = has_load || !parts.is_empty() || speaks || self.has_told_load;
        if !has_news && now.since(self.told_at) < BEAT {
            return;
        }
        self.told_at = now;
        self.has_told_load = !loads.is_empty();
        let message = PeerMessage::new(&loads, &parts)
            .with_stages(stages.clone())
            .with_demands(&self.context.demands.lock().local(now))
            .with_refusing(refusing.clone());
        let receivers = self.choice.everyone(now, &self.context.peers.lock());
        self.send(now, message, relay, &receivers).await;
        self.tell_rest(now, receivers).await;
        if speaks {
            self.tell_far(now, stages, refusing).await;
        }
    }

    /// Whether this instance tells other failure domains what its own one has.
    fn speaks_for_domain(&self, now: ClockTime) -> bool {
        let peers = self.context.peers.lock();
        let (own, domain) = (&self.context.writer.instance, &self.context.settings.domain);
        !peers.is_direct() && peers.is_speaker(now, own, domain)
    }

    /// Tells other failure domains what this one has, where not every instance tells
    /// every other one. Queues are left out: they have changed before the word is there.
    async fn tell_far(&mut self, now: ClockTime, stages: Vec<StageMessage>, refusing: Vec<u64>) {
        let receivers = self.choice.far(now, &self.context.peers.lock());
        if receivers.is_empty() {
            return;
        }
        let message = PeerMessage::without_loads()
            .with_stages(stages)
            .with_refusing(refusing)
            .with_domain_demands(&self.context.demands.lock().directly_reported(now));
        self.send(now, message, None, &receivers).await;
    }

    /// Tells what had no room in the last datagram. Were it left out, each instance of
    /// the failure domain would read all registrations from the store at once.
    async fn tell_rest(&mut self, now: ClockTime, mut receivers: Vec<WordReceiver>) {
        receivers.retain(|receiver| receiver.is_near);
        while self.context.peers.lock().has_due_changes(now)
            && let Some(relay) = relay::message(&self.context, now)
        {
            let message = PeerMessage::without_loads();
            self.send(now, message, Some(relay), &receivers).await;
        }
    }

    /// Endpoints of a failure domain that is cut off answer nothing: each request
    /// sent there would wait for a timeout. The silence of all instances there
    /// shows it before the first request has timed out.
    fn note_silent_domains(&mut self, now: ClockTime) {
        let silent = self.context.peers.lock().silent_domains(now);
        if silent == self.silent_domains {
            return;
        }
        for domain in silent.difference(&self.silent_domains) {
            LogLine::new("domain_lost")
                .with("failure_domain", domain)
                .warn();
        }
        for domain in self.silent_domains.difference(&silent) {
            LogLine::new("domain_regained")
                .with("failure_domain", domain)
                .info();
        }
        self.context
            .engines
            .lock()
            .set_silent_domains(silent.clone());
        self.context
            .replicas
            .lock()
            .set_silent_domains(silent.clone());
        self.silent_domains = silent;
    }

    /// Tells within the failure domain only: the reader tells what it knows, and
    /// the others let it know that they are there.
    async fn tell_near(&mut self) {
        let now = self.context.now();
        let relay = relay::message(&self.context, now);
        let mut receivers = self.choice.near(now, &self.context.peers.lock());
        let is_reader = relay.is_some();
        receivers.retain(|receiver| is_reader || receiver.is_reader);
        let message = PeerMessage::without_loads();
        self.send(now, message, relay, &receivers).await;
        self.tell_rest(now, receivers).await;
    }

    async fn send(
        &mut self,
        now: ClockTime,
        message: PeerMessage,
        relay: Option<RelayMessage>,
        receivers: &[WordReceiver],
    ) {
        let writer = &self.context.writer;
        let domain = &self.context.settings.domain;
        let message = message.with_sender(writer, domain, now.as_millis());
        let shared = message.encode_to_vec();
        let usage = self.usage_due(now);
        for receiver in receivers {
            let part = ReceiverPart {
                echo: receiver.stamp,
                relay: relay.clone().filter(|_| receiver.is_near),
                usage: usage.clone().filter(|_| receiver.is_reader),
            };
            let mut bytes = BytesMut::from(&shared[..]);
            bytes.extend_from_slice(&part.encode_to_vec());
            let address = receiver.address;
            if let Err(error) = self.frames.send((bytes.freeze(), address)).await {
                log::debug!("event=datagram_failed address={address} error={error:?}");
            }
        }
    }

    /// What this entry counted, when it is time to tell the reader.
    fn usage_due(&mut self, now: ClockTime) -> Option<UsageRecord> {
        if now.since(self.told_usage_at) < USAGE_INTERVAL {
            return None;
        }
        self.told_usage_at = now;
        steward::told_usage(&self.context)
    }

    fn hear(&mut self, bytes: &BytesMut, from: SocketAddr) {
        let message = match PeerMessage::decode(&bytes[..]) {
            Ok(message) => message,
            Err(error) => {
                LogLine::new("datagram_rejected")
                    .with("error", error)
                    .warn();
                return;
            }
        };
        let peer = InstanceId::new(message.instance.as_str());
        let domain = FailureDomain::new(message.domain.as_str());
        let (Ok(peer), Ok(domain)) = (peer, domain) else {
            LogLine::new("datagram_rejected")
                .with("error", "no instance")
                .warn();
            return;
        };
        let now = self.context.now();
        {
            let mut peers = self.context.peers.lock();
            let known = KnownPeer {
                address: from,
                start: message.start,
                domain: domain.clone(),
                heard_at: None,
                stamp: 0,
            };
            peers.register(&peer, known);
            peers.heard(now, &peer, message.stamp);
        }
        relay::take(&self.context, &peer, &message);
        if let Some(usage) = &message.usage {
            steward::take_told_usage(&self.context, usage);
        }
        self.hear_demands(now, &peer, &domain, &message);
        let (loads, parts) = (message.told_loads(), message.told_parts());
        let mut engines = self.context.engines.lock();
        if message.says_loads {
            engines.note_peer(now, &peer, &loads, &parts);
        }
        for engine in &message.refusing {
            engines.refused_another(now, *engine);
        }
        for order in &message.stages {
            engines.stage_ordered(now, order.engine, order.stage());
        }
    }

    fn hear_demands(
        &self,
        now: ClockTime,
        peer: &InstanceId,
        domain: &FailureDomain,
        message: &PeerMessage,
    ) {
        let mut demands = self.context.demands.lock();
        for (service, demand) in told_demands(&message.demands) {
            demands.note_peer(now, peer, service, demand);
        }
        for (service, demand) in told_demands(&message.domain_demands) {
            demands.note_domain(now, domain, service, demand);
        }
    }
}

/// The demands that a datagram tells; those of services that can't be named are dropped.
fn told_demands(
    messages: &[DemandMessage],
) -> impl Iterator<Item = (ServiceName, EngineDemand)> + '_ {
    messages.iter().filter_map(|told| {
        let service = ServiceName::new(told.service.as_str());
        let service = service.inspect_err(|error| {
            log::debug!("event=demand_rejected error={error:?}");
        });
        Some((service.ok()?, told.demand()))
    })
}
