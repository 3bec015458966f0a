//! Sending a request to upstreams: retries, deadlines, resumed streams, quarantine, intents.
//!
//! * `state` decides what becomes of one request.
//! * `budget` bounds the retries of a node.
//! * `quarantine` recognises requests that crash upstreams.
//! * `intent` folds the durable intents of calls that must run at most once.
//! * `apart` keeps suspects apart from one another.
//! * `drive` carries out the decisions for one request.

pub mod apart;
pub mod budget;
mod call;
mod drive;
pub mod handle;
pub mod intent;
mod intents;
pub mod message;
pub use serving::quarantine;
pub mod request;
pub mod settings;
mod spread;
pub mod state;
pub(crate) mod task;
mod work;

pub use handle::Handle;
pub use quarantine::Fingerprint;
pub(crate) use request::{Generation, ServiceCall};
pub use settings::Settings;
