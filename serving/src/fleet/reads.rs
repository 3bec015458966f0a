//! Reads of the registry on demand.

use tokio::sync::{Notify, watch};

use crate::time::Millis;

/// Lets tasks wait for a read of the registry. All that wait share the next one.
#[derive(Debug, Default)]
pub struct Reads {
    wanted: Notify,
    /// When the latest successful read was sent, on the clock of [`crate::time::Clock::boot_time`].
    applied_tx: watch::Sender<Millis>,
}

impl Reads {
    /// Waits until a read that was sent at or after `time` has been applied.
    pub async fn wait(&self, time: Millis) {
        let mut applied_rx = self.applied_tx.subscribe();
        if *applied_rx.borrow_and_update() >= time {
            return;
        }
        // Wakes the reader even if it is in the middle of a read, which was sent too early.
        self.wanted.notify_one();
        // The sender lives as long as `self`.
        let _ = applied_rx.wait_for(|applied| *applied >= time).await;
    }

    /// Waits until a task waits for a read.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Records that a read that was sent at `sent_at` has been applied to the fleet.
    pub fn record(&self, sent_at: Millis) {
        self.applied_tx.send_if_modified(|applied| {
            let is_newer = sent_at > *applied;
            *applied = sent_at.max(*applied);
            is_newer
        });
    }
}
