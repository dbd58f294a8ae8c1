//! Records of the store that can't be used, each logged once for each reason.

use crate::{events::Event, node::Node, registry::store_kind};
use rail_member::RecordKind;
use std::{cell::RefCell, collections::BTreeSet};

/// Records that are remembered as logged; the first one in order is forgotten first.
const MAX_LOGGED_RECORDS: usize = 512;

/// Records that were logged as unusable.
#[derive(Debug, Default)]
pub struct BadRecords {
    logged: RefCell<BTreeSet<(RecordKind, String, String)>>,
}

/// Logs why a record can't be used, unless that was logged before: it may be read again and again.
pub fn log(node: &Node, kind: RecordKind, name: &str, reason: String) {
    let mut logged = node.bad_records.logged.borrow_mut();
    if logged.len() >= MAX_LOGGED_RECORDS {
        logged.pop_first();
    }
    if logged.insert((kind, name.to_owned(), reason.clone())) {
        node.events.important(&Event::BadRecord { kind: store_kind(kind), name, reason });
    }
}
