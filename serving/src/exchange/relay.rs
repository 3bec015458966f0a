//! Forwards the events of a stream to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{self, Poll},
};

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_stream::Stream;

use super::{
    Context,
    driver::{Driver, Output},
};

/// Maximum size of the events buffered for a caller that reads slowly. A stream of usual length fits, so that
/// its upstream is free once it has made the last event. The largest event fits as well.
const BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of these events.
const BUFFER_EVENTS: usize = 256;

/// Error: the stream can't be completed. The caller's connection is closed without the end of the
/// body, so that the answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut off before its end")]
pub struct Truncated;

/// What a relay forwards.
enum Chunk {
    Event {
        bytes: Bytes,
        /// Returns the room in the buffer when the event is taken out of it.
        room: OwnedSemaphorePermit,
    },
    /// The stream is complete. A relay that ends without this has cut the stream off.
    End,
}

/// The events of a stream for its caller. Dropping them cancels the stream.
pub struct Events {
    chunk_rx: mpsc::Receiver<Chunk>,
    has_ended: bool,
}

impl Stream for Events {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let chunk = task::ready!(self.chunk_rx.poll_recv(context));
        self.has_ended = !matches!(chunk, Some(Chunk::Event { .. }));
        Poll::Ready(match chunk {
            Some(Chunk::Event { bytes, room }) => {
                drop(room);
                Some(Ok(bytes))
            }
            Some(Chunk::End) => None,
            None => Some(Err(Truncated)),
        })
    }
}

/// Forwards a stream to the caller in a task of its own.
pub(super) fn start(context: Arc<Context>, driver: Driver) -> Events {
    let (chunk_tx, chunk_rx) = mpsc::channel(BUFFER_EVENTS);
    let room = Arc::new(Semaphore::new(BUFFER_BYTES));
    tokio::spawn(Relay { context, driver, chunk_tx, room }.run());
    Events { chunk_rx, has_ended: false }
}

/// A stream that is forwarded to the caller.
struct Relay {
    context: Arc<Context>,
    driver: Driver,
    chunk_tx: mpsc::Sender<Chunk>,
    /// Bytes that are left in the buffer.
    room: Arc<Semaphore>,
}

impl Relay {
    async fn run(mut self) {
        loop {
            let output = tokio::select! {
                output = self.driver.next() => output,
                () = self.chunk_tx.closed() => return self.record_disconnect(),
            };
            match output {
                Output::Event(bytes) => {
                    if !self.forward(Some(bytes)).await {
                        return self.record_disconnect();
                    }
                }
                Output::Complete => {
                    self.forward(None).await;
                    return;
                }
                // The driver of a stream that has begun produces no other answer.
                Output::Head(_) | Output::Answer { .. } | Output::Ended { .. } => return,
            }
        }
    }

    /// Forwards an event, or the end of the stream, to the caller. Returns false if the caller
    /// disconnected or the buffer had no room before the deadline.
    async fn forward(&mut self, event: Option<Bytes>) -> bool {
        let remaining = (self.driver.deadline() - self.context.clock.now()).duration();
        let sending = async {
            let chunk = match event {
                Some(bytes) => {
                    let size = bytes.len().min(BUFFER_BYTES) as u32;
                    let room = Arc::clone(&self.room).acquire_many_owned(size).await.ok()?;
                    Chunk::Event { bytes, room }
                }
                None => Chunk::End,
            };
            self.chunk_tx.send(chunk).await.ok()
        };
        let closed = self.chunk_tx.closed();
        tokio::select! {
            sent = tokio::time::timeout(remaining, sending) => matches!(sent, Ok(Some(()))),
            () = closed => false,
        }
    }

    fn record_disconnect(&mut self) {
        self.driver.trace.finish("caller left", "before the end of the stream");
    }
}
