//! The faults of a proxy and the draws they need.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Where the proxy relays to and what it does on the way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    pub target: Option<SocketAddr>,
    /// Time added in each direction.
    pub delay_ms: u64,
    /// Upper bound of the random time added to `delay_ms`.
    pub jitter_ms: u64,
    /// Share of UDP packets that are dropped.
    pub loss: f64,
    pub mode: Mode,
    /// Seeds the draws of jitter and loss.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { target: None, delay_ms: 0, jitter_ms: 0, loss: 0.0, mode: Mode::Pass, seed: 1 }
    }
}

/// Whether traffic passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    #[default]
    Pass,
    /// TCP connections are closed, packets dropped.
    Refuse,
    /// Nothing passes and nothing is said; connections that lost bytes close afterwards.
    Blackhole,
    /// Traffic is held back until the mode changes.
    Freeze,
}

/// The settings in force, with the generator for draws.
pub(crate) struct Faults {
    current: watch::Sender<Settings>,
    rng: Mutex<SmallRng>,
}

impl Faults {
    pub(crate) fn new(settings: Settings) -> Faults {
        let rng = Mutex::new(SmallRng::seed_from_u64(settings.seed));
        Faults { current: watch::channel(settings).0, rng }
    }

    pub(crate) fn settings(&self) -> Settings {
        self.current.borrow().clone()
    }

    pub(crate) fn set(&self, settings: Settings) {
        self.current.send_replace(settings);
    }

    pub(crate) fn target(&self) -> Option<SocketAddr> {
        self.current.borrow().target
    }

    pub(crate) fn mode(&self) -> Mode {
        self.current.borrow().mode
    }

    /// Waits until the mode meets the condition.
    pub(crate) async fn wait_for(&self, condition: impl Fn(Mode) -> bool) {
        let mut receiver = self.current.subscribe();
        let _ = receiver.wait_for(|settings| condition(settings.mode)).await;
    }

    /// The time that the next bytes take.
    pub(crate) fn draw_delay(&self) -> Duration {
        let settings = self.current.borrow();
        let jitter = match settings.jitter_ms {
            0 => 0,
            limit => self.rng.lock().unwrap().random_range(0..=limit),
        };
        Duration::from_millis(settings.delay_ms + jitter)
    }

    /// Whether the next packet is dropped.
    pub(crate) fn draw_loss(&self) -> bool {
        let loss = self.current.borrow().loss;
        loss > 0.0 && self.rng.lock().unwrap().random_bool(loss.min(1.0))
    }
}
