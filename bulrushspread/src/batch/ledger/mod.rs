//! Scheduling decisions of a partition's owner: which items run next, and how items end.

mod outcome;
pub mod queue;
pub mod state;
pub mod tracked;

pub use state::{Action, Ledger, Pick, ReportStatus};
pub use tracked::JobSpec;
