//! The interface through which other modules read the configuration.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::watch;

use crate::id::Offset;

use super::{Document, message::Head, reader::Reader};

/// The document in force on this node and its offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The document contains all records of the configuration stream before this offset.
    pub offset: Offset,
    pub document: Document,
}

/// Provides the document in force and notifies of changes. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    /// Only replaced by a document with a higher offset.
    current: watch::Sender<Arc<Snapshot>>,
    reader: Arc<Mutex<Reader>>,
    head: watch::Sender<Head>,
    /// Whether a pull from a peer is running. Only one runs at a time.
    pulling: Arc<AtomicBool>,
}

impl Default for Handle {
    fn default() -> Handle {
        Handle {
            current: watch::channel(Arc::default()).0,
            reader: Arc::default(),
            head: watch::channel(Head::default()).0,
            pulling: Arc::default(),
        }
    }
}

impl Handle {
    /// The document in force.
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.borrow().clone()
    }

    /// A receiver that is notified when the document in force changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.current.subscribe()
    }

    /// Puts `next` in force if its offset is higher than that of the document in force.
    pub fn update(&self, next: Snapshot) {
        self.current.send_if_modified(|current| {
            let newer = next.offset > current.offset;
            if newer {
                *current = Arc::new(next);
            }
            newer
        });
    }

    /// This node's position in the stream.
    pub fn head(&self) -> Head {
        *self.head.borrow()
    }

    pub(crate) fn reader(&self) -> MutexGuard<'_, Reader> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_head(&self, head: Head) {
        self.head.send_replace(head);
    }

    /// Marks a pull as running. Returns false if another one is running.
    pub(super) fn try_begin_pull(&self) -> bool {
        !self.pulling.swap(true, Ordering::AcqRel)
    }

    pub(super) fn end_pull(&self) {
        self.pulling.store(false, Ordering::Release);
    }
}
