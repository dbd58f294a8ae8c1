//! Decoded values of all objects of one kind; each version is decoded only once.

use crate::{
    object::{ObjectName, ObjectVersion},
    watch::WatchCache,
};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A decoded value with the version of its object.
#[derive(Debug)]
struct Record<T> {
    version: ObjectVersion,
    /// `None` when the value could not be decoded.
    value: Option<T>,
}

/// Cache of the decoded values of all objects of one kind.
#[derive(Debug)]
pub struct RecordCache<T> {
    objects: WatchCache,
    revision: Option<u64>,
    records: BTreeMap<ObjectName, Record<T>>,
}

impl<T: DeserializeOwned> RecordCache<T> {
    /// Creates an empty cache; [`Self::refresh`] fills it.
    pub fn new(objects: WatchCache) -> Self {
        Self { objects, revision: None, records: BTreeMap::new() }
    }

    /// Decodes the objects that changed since the last call; returns whether any did.
    pub fn refresh(&mut self) -> bool {
        let revision = self.objects.revision();
        if self.revision.replace(revision) == Some(revision) {
            return false;
        }
        let records = &mut self.records;
        self.objects.with_objects(|objects| {
            records.retain(|name, _| objects.contains_key(name));
            for (name, object) in objects {
                if records.get(name).is_none_or(|cached| cached.version != object.version) {
                    let value = serde_json::from_str(&object.value).ok();
                    let version = object.version.clone();
                    records.insert(name.clone(), Record { version, value });
                }
            }
        });
        true
    }

    /// Returns the values that could be decoded, in the order of the names of their objects.
    pub fn iter(&self) -> impl Iterator<Item = (&T, &ObjectVersion)> {
        self.records.values().filter_map(|record| Some((record.value.as_ref()?, &record.version)))
    }
}
