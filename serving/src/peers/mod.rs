//! What nodes tell each other directly: requests in flight, partitions owned, crashing requests.
//!
//! Datagrams carry the whole state each time, so a lost one is made good by the next. In a fleet
//! with many nodes a message goes to a few of them; see `State::send`.

mod message;
mod settings;
mod state;
mod task;

pub use message::{Message, Result};
pub use settings::Settings;
pub use state::{Round, State};
pub use task::{Sources, run};
