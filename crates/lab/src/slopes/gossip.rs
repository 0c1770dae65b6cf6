//! What instances tell each other: bytes of heartbeats in the encoding that they
//! travel in, by the number of instances.

use std::collections::BTreeMap;

use bluebell_core::{
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrganisationId},
    membership::{
        EndpointLoad, GossipItem, GossipTable, InstanceProgram, InstanceState, LinkPlan,
        LocalStatus, MemberPresence, OrganisationShare, PlanMember,
    },
    units::{TokenCount, WorkCost},
};
use bluebell_node::peers::wire::{HeartbeatMessage, ItemMessage, PeerBody, PeerFrame};
use prost::Message;

use crate::{slopes::measure::micros_each, tables::TextTable};

/// Heartbeats before the measurement, so that presence is known everywhere.
const WARM_UP: u64 = 20;
/// Heartbeats measured.
const BEATS: u64 = 10;
/// Bytes of news that an instance sends and takes in a second over all its
/// links, the fewest that news is sent for and the most in one heartbeat, as
/// `bluebell-node` has them.
const NEWS_BYTES: usize = 500;
const MIN_NEWS: usize = 64;
const MAX_NEWS: usize = 400;
/// Heartbeats after which the wait for everybody to know everybody ends.
const MOST_BEATS: u64 = 900;
/// Endpoints that an instance has work at, and organisations that it serves, in
/// a second.
const LOADS: u64 = 8;
const SHARES: u64 = 8;

struct Member {
    plan: PlanMember,
    table: GossipTable,
}

fn member(number: u64, domains: u64) -> Member {
    let instance = InstanceId::new(format!("entry-{number}")).expect("an identifier");
    let failure_domain =
        FailureDomain::new(format!("domain-{}", number % domains)).expect("an identifier");
    Member {
        table: GossipTable::new(instance.clone(), 1),
        plan: PlanMember {
            failure_domain,
            instance,
        },
    }
}

fn presence(member: &PlanMember) -> MemberPresence {
    MemberPresence {
        failure_domain: member.failure_domain.clone(),
        program: InstanceProgram::Entry,
        state: InstanceState::Live,
        http_address: "10.20.30.40:8080".to_string(),
        peer_address: "10.20.30.40:9090".to_string(),
    }
}

fn status(number: u64, beat: u64) -> LocalStatus {
    let load = |index: u64| EndpointLoad {
        endpoint: EndpointId::new(format!("engine-{}", (number + index * 13) % 670))
            .expect("an identifier"),
        requests: 1 + (beat + index) % 5,
        tokens: TokenCount::new(900 + beat),
    };
    let share = |index: u64| OrganisationShare {
        organisation: OrganisationId::new(format!(
            "organisation-{}",
            (number * 8 + index) % 33_000
        ))
        .expect("an identifier"),
        cost: WorkCost::new(1_000 * beat + index),
    };
    LocalStatus {
        state: InstanceState::Live,
        loads: (0..LOADS).map(load).collect(),
        shares: (0..SHARES).map(share).collect(),
    }
}

fn news_bytes(sender: &InstanceId, items: &[GossipItem]) -> usize {
    let size = |item| ItemMessage::new(sender, item).encoded_len();
    items.iter().map(size).sum()
}

fn frame_bytes(sender: &InstanceId, items: &[GossipItem]) -> usize {
    let heartbeat = HeartbeatMessage {
        stamp: 86_400_000,
        echo: Some(86_400_000),
        next_offset: 1_000_000,
        freshness: Some(100),
        caught_up: true,
        items: items.iter().map(|i| ItemMessage::new(sender, i)).collect(),
        update_budget: Some(NEWS_BYTES as u64),
    };
    let frame = PeerFrame {
        body: Some(PeerBody::Heartbeat(heartbeat)),
    };
    frame.encoded_len() + 4
}

struct GossipCost {
    links: f64,
    most_links: usize,
    sent: f64,
    most_sent: f64,
    micros: f64,
    known: f64,
    complete: Option<u64>,
}

fn measure(count: u64, domains: u64) -> GossipCost {
    let mut members: Vec<Member> = (0..count).map(|n| member(n, domains)).collect();
    let plans: Vec<PlanMember> = members.iter().map(|m| m.plan.clone()).collect();
    let places: BTreeMap<InstanceId, usize> = plans
        .iter()
        .enumerate()
        .map(|(index, plan)| (plan.instance.clone(), index))
        .collect();
    let neighbours: Vec<Vec<usize>> = plans
        .iter()
        .map(|own| {
            let plan = LinkPlan::new(own, &plans);
            plan.neighbours.iter().map(|n| places[n]).collect()
        })
        .collect();
    let mut sent = vec![0_usize; members.len()];
    let mut credits: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    let mut round = |members: &mut Vec<Member>, beat: u64, counted: bool| {
        for (number, member) in members.iter_mut().enumerate() {
            let next = LogOffset::new(beat * 100);
            let own = presence(&member.plan);
            member
                .table
                .set_local(own, next, &status(number as u64, beat));
        }
        for sender in 0..members.len() {
            for receiver in &neighbours[sender] {
                let to = plans[*receiver].instance.clone();
                let links = neighbours[sender].len().max(neighbours[*receiver].len());
                let credit = credits.entry((sender, *receiver)).or_insert(0_usize);
                *credit = (*credit + NEWS_BYTES / links.max(1)).min(MAX_NEWS);
                let mut items = Vec::new();
                if *credit >= MIN_NEWS {
                    items = members[sender].table.heartbeat_items(&to, *credit);
                    let bytes = news_bytes(&plans[sender].instance, &items);
                    *credit = credit.saturating_sub(bytes);
                }
                if counted {
                    sent[sender] += frame_bytes(&plans[sender].instance, &items);
                }
                for item in &items {
                    members[*receiver]
                        .table
                        .merge(&plans[sender].instance, item);
                }
            }
        }
    };
    for beat in 0..WARM_UP {
        round(&mut members, beat, false);
    }
    let knows = |member: &Member| {
        let known = plans
            .iter()
            .filter(|p| member.table.presence(&p.instance).is_some());
        known.count() as f64 * 100.0 / count as f64
    };
    let known = members.iter().map(knows).sum::<f64>() / count as f64;
    let micros = micros_each(BEATS * count, || {
        for beat in WARM_UP..WARM_UP + BEATS {
            round(&mut members, beat, true);
        }
    });
    let per_second = |bytes: &usize| *bytes as f64 / BEATS as f64;
    let mut beats = WARM_UP + BEATS;
    let everybody = |members: &[Member]| members.iter().all(|m| knows(m) >= 100.0);
    while beats < MOST_BEATS && !everybody(&members) {
        round(&mut members, beats, false);
        beats += 1;
    }
    GossipCost {
        links: neighbours.iter().map(Vec::len).sum::<usize>() as f64 / count as f64,
        most_links: neighbours.iter().map(Vec::len).max().unwrap_or(0),
        sent: sent.iter().map(per_second).sum::<f64>() / count as f64,
        most_sent: sent.iter().map(per_second).fold(0.0, f64::max),
        micros,
        known,
        complete: everybody(&members).then_some(beats),
    }
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Gossip: heartbeats once a second",
        "`bluebell-lab capacity --only gossip`. Each instance has news of 8 endpoints and 8 \
         organisations a second; sizes are those of the frames on the wire, without TCP's.",
        &[
            "instances",
            "failure domains",
            "links each",
            "most links",
            "bytes/s sent each",
            "most bytes/s sent",
            "µs per second each",
            "% of members known after 20 s",
            "s until all know all, 30 at least",
        ],
    );
    for (count, domains) in [(3, 3), (9, 3), (27, 3), (81, 3), (350, 7)] {
        let cost = measure(count, domains);
        table.row(&[
            count.to_string(),
            domains.to_string(),
            format!("{:.1}", cost.links),
            cost.most_links.to_string(),
            format!("{:.0}", cost.sent),
            format!("{:.0}", cost.most_sent),
            format!("{:.0}", cost.micros),
            format!("{:.0}", cost.known),
            match cost.complete {
                Some(seconds) => seconds.to_string(),
                None => format!("over {MOST_BEATS}"),
            },
        ]);
    }
    table.finish()
}
