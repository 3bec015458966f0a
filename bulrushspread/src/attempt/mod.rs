//! Sends requests to upstreams: retries, deadlines, resumed streams, quarantine, intents.
//!
//! * `state` is the state machine of one request.
//! * `budget` limits the retries of a node.
//! * `quarantine` detects requests that crash upstreams.
//! * `intent` replays the durable intents of calls that must run at most once.
//! * `intents` reads and appends to the intent streams.
//! * `reservation` reserves an upstream for one suspect at a time.
//! * `gossip` spreads the suspects to the other nodes.
//! * `driver` executes the actions of the state machine.

pub mod budget;
mod call;
mod driver;
mod gossip;
pub mod handle;
pub mod intent;
mod intents;
pub mod message;
pub use serving::quarantine;
pub mod request;
pub mod reservation;
pub mod settings;
pub mod state;
pub(crate) mod task;
mod work;

pub use handle::Handle;
pub use quarantine::Fingerprint;
pub(crate) use request::{Generation, ServiceCall};
pub use settings::Settings;
