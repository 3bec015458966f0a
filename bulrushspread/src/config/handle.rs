//! What the slices use of the configuration.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::watch;

use crate::id::Offset;

use super::{Document, message::Head, reader::Reader};

/// The document in force on this node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// The offset in the configuration stream up to which the document is folded.
    pub offset: Offset,
    pub document: Document,
}

/// Gives the document in force and tells of changes.
#[derive(Clone)]
pub struct Handle {
    /// Only ever replaced by a document of a higher offset.
    current: watch::Sender<Arc<InForce>>,
    reader: Arc<Mutex<Reader>>,
    head: watch::Sender<Head>,
    /// A pull from a peer is under way; no second one starts.
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
    pub fn current(&self) -> Arc<InForce> {
        self.current.borrow().clone()
    }

    /// A receiver that sees each change of the document in force.
    pub fn watch(&self) -> watch::Receiver<Arc<InForce>> {
        self.current.subscribe()
    }

    /// Puts a document in force, unless the one in force is as new.
    pub fn put(&self, next: InForce) {
        self.current.send_if_modified(|current| {
            let newer = next.offset > current.offset;
            if newer {
                *current = Arc::new(next);
            }
            newer
        });
    }

    /// How far this node has folded the stream.
    pub fn head(&self) -> Head {
        *self.head.borrow()
    }

    pub(crate) fn reader(&self) -> MutexGuard<'_, Reader> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn put_head(&self, head: Head) {
        self.head.send_replace(head);
    }

    pub(super) fn begin_pull(&self) -> bool {
        !self.pulling.swap(true, Ordering::AcqRel)
    }

    pub(super) fn end_pull(&self) {
        self.pulling.store(false, Ordering::Release);
    }
}
