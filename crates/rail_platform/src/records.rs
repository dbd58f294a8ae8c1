//! Values of one kind, each read from JSON once a version.

use crate::{
    object::{ObjectName, ObjectVersion},
    watch::WatchCache,
};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A value as read, with the version of its object.
#[derive(Debug)]
struct Record<T> {
    version: ObjectVersion,
    /// None when the value could not be read.
    value: Option<T>,
}

/// Typed copy of all objects of one kind.
#[derive(Debug)]
pub struct RecordCache<T> {
    objects: WatchCache,
    revision: Option<u64>,
    records: BTreeMap<ObjectName, Record<T>>,
}

impl<T: DeserializeOwned> RecordCache<T> {
    /// Starts with nothing read.
    pub fn new(objects: WatchCache) -> Self {
        Self { objects, revision: None, records: BTreeMap::new() }
    }

    /// Reads what changed since the last call; returns whether anything did.
    pub fn refresh(&mut self) -> bool {
        let revision = self.objects.revision();
        if self.revision.replace(revision) == Some(revision) {
            return false;
        }
        let records = &mut self.records;
        self.objects.with_objects(|objects| {
            records.retain(|name, _| objects.contains_key(name));
            for (name, object) in objects {
                if records.get(name).is_none_or(|known| known.version != object.version) {
                    let value = serde_json::from_str(&object.value).ok();
                    let version = object.version.clone();
                    records.insert(name.clone(), Record { version, value });
                }
            }
        });
        true
    }

    /// Lists the values that could be read, by the names of their objects.
    pub fn iter(&self) -> impl Iterator<Item = (&T, &ObjectVersion)> {
        self.records.values().filter_map(|r| Some((r.value.as_ref()?, &r.version)))
    }
}
