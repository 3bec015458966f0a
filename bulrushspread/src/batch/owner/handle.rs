//! What other slices use of the lane owner.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};

use tokio::sync::mpsc;

use crate::{
    batch::{directory::Directory, files::Cache},
    id::Lane,
};

use super::command::Command;

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    pub(crate) directory: Arc<Directory>,
    pub(crate) files: Arc<Cache>,
    /// The lanes that this node owns.
    pub(crate) owned: Arc<Mutex<BTreeSet<Lane>>>,
    /// The lanes that this node follows.
    pub(crate) lanes: Arc<Mutex<BTreeMap<Lane, mpsc::UnboundedSender<Command>>>>,
}
