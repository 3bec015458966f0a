//! Forwards the events of a stream to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{self, Poll},
};

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_stream::Stream;

use super::{
    Context,
    driver::{Driver, Output},
};

/// Maximum number of events buffered for a caller that reads slowly.
const BUFFER_EVENTS: usize = 16;

/// Error: the stream can't be completed. The caller's connection is closed without the end of the
/// body, so that the answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut off before its end")]
pub struct Truncated;

/// What a relay forwards.
enum Chunk {
    Event(Bytes),
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
        self.has_ended = !matches!(chunk, Some(Chunk::Event(_)));
        Poll::Ready(match chunk {
            Some(Chunk::Event(bytes)) => Some(Ok(bytes)),
            Some(Chunk::End) => None,
            None => Some(Err(Truncated)),
        })
    }
}

/// Forwards a stream to the caller in a task of its own.
pub(super) fn start(context: Arc<Context>, driver: Driver) -> Events {
    let (chunk_tx, chunk_rx) = mpsc::channel(BUFFER_EVENTS);
    tokio::spawn(Relay { context, driver, chunk_tx }.run());
    Events { chunk_rx, has_ended: false }
}

/// A stream that is forwarded to the caller.
struct Relay {
    context: Arc<Context>,
    driver: Driver,
    chunk_tx: mpsc::Sender<Chunk>,
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
                    if !self.forward(Chunk::Event(bytes)).await {
                        return self.record_disconnect();
                    }
                }
                Output::Complete => {
                    self.forward(Chunk::End).await;
                    return;
                }
                // The driver of a stream that has begun produces no other answer.
                Output::Head(_) | Output::Answer { .. } | Output::Ended { .. } => return,
            }
        }
    }

    /// Forwards `chunk` to the caller. Returns false if the caller disconnected or didn't read it
    /// before the deadline.
    async fn forward(&mut self, chunk: Chunk) -> bool {
        let remaining = (self.driver.deadline() - self.context.clock.now()).duration();
        matches!(tokio::time::timeout(remaining, self.chunk_tx.send(chunk)).await, Ok(Ok(())))
    }

    fn record_disconnect(&mut self) {
        self.driver.trace.finish("caller left", "before the end of the stream");
    }
}
