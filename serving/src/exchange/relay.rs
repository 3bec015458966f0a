//! Forwards the events of a stream to the caller.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{
    Context,
    driver::{Driver, Output},
};

/// Error: the stream can't be completed. The caller's connection is closed without the end of the
/// body, so that the answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut off before its end")]
pub struct Truncated;

/// A stream that is forwarded to the caller.
pub(super) struct Relay {
    pub(super) context: Arc<Context>,
    pub(super) driver: Driver,
    pub(super) sender: mpsc::Sender<Result<Bytes, Truncated>>,
}

impl Relay {
    pub(super) async fn run(mut self) {
        loop {
            let output = tokio::select! {
                output = self.driver.next() => output,
                () = self.sender.closed() => return self.record_disconnect(),
            };
            match output {
                Output::Event(bytes) => {
                    if !self.forward(Ok(bytes)).await {
                        return self.record_disconnect();
                    }
                }
                Output::Complete => return,
                // A stream has one head, which the caller has, and its driver ends with an event
                // missing rather than with another answer.
                Output::Head(_) | Output::Answer { .. } | Output::Ended { .. } => {
                    self.forward(Err(Truncated)).await;
                    return;
                }
            }
        }
    }

    /// Forwards `bytes` to the caller. Returns false if the caller disconnected or didn't read them
    /// before the deadline.
    async fn forward(&mut self, bytes: Result<Bytes, Truncated>) -> bool {
        let remaining = (self.driver.deadline() - self.context.clock.now()).duration();
        matches!(tokio::time::timeout(remaining, self.sender.send(bytes)).await, Ok(Ok(())))
    }

    fn record_disconnect(&mut self) {
        self.driver.trace.finish("caller left", "before the end of the stream");
    }
}
