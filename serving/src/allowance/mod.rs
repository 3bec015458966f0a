//! Rate limits of workspaces over all nodes together.
//!
//! For each workspace one node, the owner, lends allowance for single requests to the others. It is
//! the node that owns the batch partition for the workspace's name, and it lends only while the log
//! has recently confirmed that ownership. A node that gets no answer from the owner asks the deputy,
//! which lends from a reserve that the owner never lends. Nodes choose the deputy by the nodes that
//! they know, without the log.
//!
//! * `budget` divides what a limit and its tolerance allow between the owner and the reserve.
//! * `bucket` is the owner's account of one workspace.
//! * `deputy` chooses the node that holds the reserve of a workspace.
//! * `holder` is what one node knows of one workspace: grants, refusals and the reserve.
//! * `lease` is the time for which a node may lend as the owner of a partition.
//! * `share` decides which workspaces are refused while upstreams are short.
//! * `state` decides with these, and does no I/O.
//! * `message` defines the datagrams.
//! * `task` sends and receives them, and wakes the requests that wait.

mod bucket;
mod budget;
mod deputy;
mod holder;
mod lease;
mod message;
mod settings;
pub mod share;
mod state;
mod task;

pub use budget::{Budget, Limit};
pub use lease::Lease;
pub use message::{Answer, Ask, AskId, Datagram, Kind, Result, Verdict};
pub use settings::Settings;
pub use state::{Action, Decision, Lender, Permit, Reason, Source, State, Taken, Ticket};
pub use task::{Allowance, run};
