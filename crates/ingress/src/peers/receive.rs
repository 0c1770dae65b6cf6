//! Applying the messages of other instances.

use std::{collections::BTreeSet, net::SocketAddr};

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId, ServiceName},
    provision::EngineDemand,
    quarantine::PartReport,
    quota::{ReportSource, UsageReport},
    relay::ProcessStamp,
};
use bluebell_daemon::logs::LogLine;
use bytes::BytesMut;
use prost::Message;

use crate::{
    forward, leader,
    peers::{
        broadcast::PeerBroadcaster,
        demands::DemandMessage,
        messages::{PeerMessage, UsageMessage},
        prompt_parts::PartMessage,
        relay, speeds,
        table::KnownPeer,
    },
    stream_origins::OriginProofs,
};

impl PeerBroadcaster {
    /// Applies a datagram that arrived from `from`.
    pub(super) fn receive(&mut self, bytes: &BytesMut, from: SocketAddr) {
        let message = match PeerMessage::decode(&bytes[..]) {
            Ok(message) => message,
            Err(error) => {
                LogLine::new("datagram_rejected")
                    .with("error", error)
                    .warn();
                return;
            }
        };
        let now = self.context.now();
        if let Some(origins) = message.origins {
            let directory = &self.context.directory;
            let prove = || {
                let directory = directory.lock();
                let versions = directory.versions();
                OriginProofs {
                    origins: versions.sole_origins(now).collect(),
                    age: versions.age(now),
                }
            };
            self.context.streams.receive(now, origins, from, prove);
            return;
        }
        if let Some(loads) = message.engine_loads {
            self.context.engine_loads.receive(now, loads, from);
            return;
        }
        let peer = InstanceId::new(message.instance.as_str());
        let domain = FailureDomain::new(message.domain.as_str());
        let (Ok(peer), Ok(domain)) = (peer, domain) else {
            LogLine::new("datagram_rejected")
                .with("error", "invalid instance or failure domain name")
                .warn();
            return;
        };
        {
            let mut peers = self.context.peers.lock();
            let known = KnownPeer {
                address: from,
                start: message.start,
                domain: domain.clone(),
                last_seen: None,
                stamp: ProcessStamp::default(),
            };
            peers.register(&peer, known);
            let stamp = ProcessStamp::new(message.start, message.stamp);
            peers.note_message(now, &peer, stamp);
            peers.note_unreachable(now, &peer, decode_services(&message.unreachable));
        }
        relay::apply(&self.context, &peer, &message);
        if let Some(usage) = &message.usage {
            leader::note_peer_usage(&self.context, usage);
        }
        self.note_demands(now, &peer, &domain, &message);
        self.note_usages(now, &peer, &domain, &message);
        self.note_crashes(now, &domain, &message);
        self.note_prompt_parts(now, &domain, &message);
        let is_same_domain = domain == self.context.settings.domain;
        speeds::note_speeds(&self.context, now, &message.speeds, is_same_domain);
        let (loads, parts) = (message.peer_loads(), message.peer_parts());
        let mut engines = self.context.engines.lock();
        if message.includes_loads {
            engines.note_peer(now, &peer, &loads, &parts);
        }
        for engine in &message.refusing {
            engines.note_peer_refusal(now, *engine);
        }
        for order in &message.stages {
            engines.stage_ordered(now, order.engine, order.stage());
        }
    }

    fn note_crashes(&self, now: ClockTime, domain: &FailureDomain, message: &PeerMessage) {
        let is_same_domain = *domain == self.context.settings.domain;
        let mut quarantine = self.context.quarantine.lock();
        for crashes in &message.crashes {
            let report = crashes.report();
            if quarantine.note_report(now, &report, is_same_domain) {
                LogLine::new("request_quarantined")
                    .with("fingerprint", &report.fingerprint)
                    .with("source", &message.instance)
                    .warn();
                self.context.crash_records.note_quarantined();
            }
        }
    }

    fn note_prompt_parts(&self, now: ClockTime, domain: &FailureDomain, message: &PeerMessage) {
        if message.prompt_parts.is_empty() {
            return;
        }
        let is_same_domain = *domain == self.context.settings.domain;
        let reports = message.prompt_parts.iter().map(PartMessage::report);
        let reports: Vec<PartReport> = reports.collect();
        let quarantined = {
            let mut prompt_parts = self.context.prompt_parts.lock();
            prompt_parts.note_reports(now, &reports, is_same_domain)
        };
        forward::log_quarantined_parts(&self.context, &quarantined, &message.instance);
        // The other failure domains learn of it from the representatives only.
        if is_same_domain && self.context.is_representative(now) {
            self.context.report_due.notify_one();
        }
    }

    fn note_usages(
        &self,
        now: ClockTime,
        peer: &InstanceId,
        domain: &FailureDomain,
        message: &PeerMessage,
    ) {
        let source = ReportSource {
            instance: peer.clone(),
            start: message.start,
            stamp: message.stamp,
            domain: domain.clone(),
        };
        let is_same_domain = *domain == self.context.settings.domain;
        let decode = |usages: &[UsageMessage]| -> Vec<UsageReport> {
            usages.iter().map(UsageMessage::report).collect()
        };
        let mut limiter = self.context.limiter.lock();
        match message.domain_entries as usize {
            0 => limiter.note_instance(now, &source, is_same_domain, &decode(&message.usages)),
            entries if !is_same_domain => {
                limiter.note_domain(now, &source, entries, &decode(&message.domain_usages));
            }
            _ => {}
        }
    }

    fn note_demands(
        &self,
        now: ClockTime,
        peer: &InstanceId,
        domain: &FailureDomain,
        message: &PeerMessage,
    ) {
        let mut demands = self.context.demands.lock();
        for (service, demand) in decode_demands(&message.demands) {
            demands.note_peer(now, peer, service, demand);
        }
        for (service, demand) in decode_demands(&message.domain_demands) {
            demands.note_domain(now, domain, service, demand);
        }
    }
}

/// Decodes the names of services; invalid ones are dropped.
fn decode_services(names: &[String]) -> BTreeSet<ServiceName> {
    let services = names.iter().map(|name| ServiceName::new(name.as_str()));
    services.filter_map(Result::ok).collect()
}

/// Decodes the demands of a datagram; those with an invalid service name are dropped.
fn decode_demands(
    messages: &[DemandMessage],
) -> impl Iterator<Item = (ServiceName, EngineDemand)> + '_ {
    messages.iter().filter_map(|message| {
        let service = ServiceName::new(message.service.as_str());
        let service = service.inspect_err(|error| {
            log::debug!("event=demand_rejected error={error:?}");
        });
        Some((service.ok()?, message.demand()))
    })
}
