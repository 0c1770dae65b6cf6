//! Telling the other instances, and listening to them.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};
use bluebell_daemon::logs::LogLine;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::UdpSocket;
use tokio_util::{codec::BytesCodec, udp::UdpFramed};

use crate::{
    context::EntryContext,
    peers::{messages::PeerMessage, registry::own_address, table::ALIVE_FOR},
};

/// How often an entry tells the others what it has, with few of them. A prefill
/// takes 15 to 200 ms; a picture that is older than that misleads.
const TELL_INTERVAL: Duration = Duration::from_millis(60);

/// By how much the interval grows with each other instance: what an entry spends
/// on telling and listening stays the same however many there are.
const INTERVAL_FOR_EACH: Duration = Duration::from_millis(9);

/// The longest interval: words count for some seconds only.
const LONGEST_INTERVAL: Duration = Duration::from_millis(800);

/// How often an entry with nothing to tell says that it is there.
const BEAT: TimeSpan = TimeSpan::from_millis(1_000);

/// How often a silent instance is told something all the same: it may be back.
const SILENT_BEAT: TimeSpan = TimeSpan::from_millis(2_000);

/// The talk of one entry.
pub struct PeerTalk {
    context: Arc<EntryContext>,
    frames: UdpFramed<BytesCodec>,
    told_at: ClockTime,
    told_silent_at: ClockTime,
    /// Whether the others last heard that this entry has something.
    has_told_load: bool,
}

impl PeerTalk {
    /// Listens.
    pub async fn bind(context: Arc<EntryContext>) -> io::Result<PeerTalk> {
        let socket = UdpSocket::bind(own_address(&context)).await?;
        Ok(PeerTalk {
            context,
            frames: UdpFramed::new(socket, BytesCodec::new()),
            told_at: ClockTime::default(),
            told_silent_at: ClockTime::default(),
            has_told_load: false,
        })
    }

    /// Tells and listens for good.
    pub async fn run(mut self) {
        let mut tell_at = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(tell_at) => {
                    self.tell().await;
                    tell_at = tokio::time::Instant::now() + self.interval();
                }
                received = self.frames.next() => match received {
                    Some(Ok((bytes, _))) => self.hear(&bytes),
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
        let (loads, parts) = {
            let mut engines = self.context.engines.lock();
            (engines.own_loads(), engines.take_untold())
        };
        let stages = self.context.peers.lock().stage_orders(now);
        let has_load = !loads.is_empty() || !parts.is_empty();
        let has_news = has_load || !stages.is_empty() || self.has_told_load;
        if !has_news && now.since(self.told_at) < BEAT {
            return;
        }
        self.told_at = now;
        self.has_told_load = !loads.is_empty();
        let instance = self.context.writer.instance.as_str();
        let message = PeerMessage::new(instance, &loads, &parts).with_stages(stages);
        let bytes = Bytes::from(message.encode_to_vec());
        for address in self.receivers(now) {
            if let Err(error) = self.frames.send((bytes.clone(), address)).await {
                log::debug!("event=datagram_failed address={address} error={error:?}");
            }
        }
    }

    fn receivers(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        let with_silent = now.since(self.told_silent_at) >= SILENT_BEAT;
        if with_silent {
            self.told_silent_at = now;
        }
        let peers = self.context.peers.lock();
        let is_alive = |heard_at: Option<ClockTime>| {
            heard_at.is_some_and(|heard| now.since(heard) <= ALIVE_FOR)
        };
        let receivers = peers
            .iter()
            .filter(|(_, peer)| with_silent || is_alive(peer.heard_at));
        receivers.map(|(_, peer)| peer.address).collect()
    }

    fn hear(&mut self, bytes: &BytesMut) {
        let message = match PeerMessage::decode(&bytes[..]) {
            Ok(message) => message,
            Err(error) => {
                LogLine::new("datagram_rejected")
                    .with("error", error)
                    .warn();
                return;
            }
        };
        let Ok(peer) = InstanceId::new(message.instance.as_str()) else {
            LogLine::new("datagram_rejected")
                .with("error", "no instance")
                .warn();
            return;
        };
        let now = self.context.now();
        self.context.peers.lock().heard(now, &peer);
        let (loads, parts) = (message.told_loads(), message.told_parts());
        let mut engines = self.context.engines.lock();
        engines.note_peer(now, &peer, &loads, &parts);
        for order in &message.stages {
            engines.stage_ordered(now, order.engine, order.stage());
        }
    }
}
