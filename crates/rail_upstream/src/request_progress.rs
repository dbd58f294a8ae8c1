//! Whether a request is written to the end.

use std::{cell::Cell, rc::Rc};

/// Whether a connection has yet to write a part of its request. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestProgress {
    is_unwritten: Rc<Cell<bool>>,
}

impl RequestProgress {
    /// Records that there are bytes to write.
    pub(crate) fn begin(&self) {
        self.is_unwritten.set(true);
    }

    /// Records that all bytes so far are written.
    pub(crate) fn finish(&self) {
        self.is_unwritten.set(false);
    }

    /// Returns whether bytes of the request are not written yet.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.is_unwritten.get()
    }
}
