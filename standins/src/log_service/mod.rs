//! The platform's log service, held in memory.
//!
//! * `POST /streams/{stream}/records` appends.
//! * `GET /streams/{stream}/records?from=n&wait_ms=m` reads, and waits for a first record.
//! * `POST /control` sets faults, `GET /control` reads settings and counts.

mod service;
mod settings;
mod state;

pub use service::serve;
pub use settings::{Outage, Settings};
