//! State that partition owners share with the other tasks of the node.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};

use tokio::sync::mpsc;

use crate::{
    batch::{directory::Directory, files::Cache},
    id::Partition,
};

use super::command::Command;

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    pub(crate) directory: Arc<Directory>,
    pub(crate) files: Arc<Cache>,
    /// The partitions that this node owns.
    pub(crate) owned: Arc<Mutex<BTreeSet<Partition>>>,
    /// The partitions whose streams this node follows, each with the channel to its task.
    pub(crate) partitions: Arc<Mutex<BTreeMap<Partition, mpsc::UnboundedSender<Command>>>>,
}
