//! Counts usage once Rocket has read it from a body.

use std::{
    io::{Cursor, SeekFrom},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

use crate::{
    context::EntryContext,
    metering::{UsageCount, UsageOwner},
};

/// Usage that was handed to Rocket and is counted when Rocket asks for more data.
#[derive(Debug)]
pub struct DeliveryTicket {
    context: Arc<EntryContext>,
    owner: UsageOwner,
    pending: UsageCount,
    request_counted: bool,
}

impl DeliveryTicket {
    /// Creates a ticket without pending usage.
    pub fn new(context: Arc<EntryContext>, owner: UsageOwner) -> DeliveryTicket {
        DeliveryTicket {
            context,
            owner,
            pending: UsageCount::default(),
            request_counted: false,
        }
    }

    /// Adds tokens that are being handed to Rocket; the first call also adds the request.
    pub fn note_pending(&mut self, prompt_tokens: u64, output_tokens: u64) {
        let first = !std::mem::replace(&mut self.request_counted, true);
        self.pending.requests += u64::from(first);
        self.pending.prompt_tokens += prompt_tokens;
        self.pending.output_tokens += output_tokens;
    }

    /// Counts the pending usage as delivered.
    pub fn count_pending(&mut self) {
        let count = std::mem::take(&mut self.pending);
        self.context
            .meter
            .add(self.context.now(), &self.owner, count);
    }
}

/// A complete body whose usage is counted when it has been read to its end.
#[derive(Debug)]
pub struct MeteredBody {
    bytes: Cursor<Bytes>,
    ticket: DeliveryTicket,
}

impl MeteredBody {
    /// Creates the body of one answer from `bytes`.
    pub fn new(bytes: Bytes, mut ticket: DeliveryTicket) -> MeteredBody {
        ticket.note_pending(0, 0);
        if bytes.is_empty() {
            // Rocket never reads empty bodies.
            ticket.count_pending();
        }
        MeteredBody {
            bytes: Cursor::new(bytes),
            ticket,
        }
    }
}

impl AsyncRead for MeteredBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.bytes).poll_read(context, buffer))?;
        let is_at_end = buffer.filled().len() == before && buffer.remaining() > 0;
        if is_at_end {
            self.ticket.count_pending();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncSeek for MeteredBody {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> std::io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(position)
    }

    fn poll_complete(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(context)
    }
}
