//! Objects and their representation in the Kubernetes API.

use crate::hosts::Endpoint;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, value::RawValue};
use std::collections::BTreeMap;

/// Version of an object, assigned by the platform; opaque to clients.
pub type ObjectVersion = String;
/// Name of an object, unique within [`NAMESPACE`].
pub type ObjectName = String;

/// Namespace of all objects of this system.
pub const NAMESPACE: &str = "tarragonrail";
/// Key of the single entry in an object's data.
const VALUE_KEY: &str = "value";
/// Label whose value is the kind of the object; lists and watches select by it.
pub(crate) const KIND_LABEL: &str = "tarragonrail-kind";

/// Kinds of objects that this system reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// Head of the accepted configuration, which names its segments.
    ConfigHead,
    /// Immutable part of a configuration.
    ConfigSegment,
    /// Session of a scheduler.
    Session,
    /// Ownership of a resource by a session.
    Owner,
    /// Claim that lets a non-idempotent request run at most once.
    Claim,
    /// Record of a request that crashes its upstreams.
    Quarantine,
    /// List of live and leaving hosts, maintained by the platform.
    HostList,
}

impl ObjectKind {
    /// Returns the value of the kind label.
    pub fn label(self) -> &'static str {
        match self {
            Self::ConfigHead => "config-head",
            Self::ConfigSegment => "config-segment",
            Self::Session => "session",
            Self::Owner => "owner",
            Self::Claim => "claim",
            Self::Quarantine => "quarantine",
            Self::HostList => "host-list",
        }
    }

    /// Returns the API path of the collection that contains objects of this kind.
    pub(crate) fn path(self) -> String {
        match self {
            Self::HostList => {
                format!("/apis/discovery.k8s.io/v1/namespaces/{NAMESPACE}/endpointslices")
            }
            _ => format!("/api/v1/namespaces/{NAMESPACE}/configmaps"),
        }
    }
}

/// A stored value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Name, unique among all kinds except the host list.
    pub name: ObjectName,
    /// Version of the last change, for conditional writes.
    pub version: ObjectVersion,
    /// Serialized content; empty for a host list.
    pub value: String,
    /// Hosts in a host list; empty for other kinds.
    pub endpoints: Vec<Endpoint>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ConfigMap {
    #[serde(default)]
    pub api_version: String,
    #[serde(default)]
    pub kind: String,
    pub metadata: Metadata,
    #[serde(default)]
    pub data: BTreeMap<String, String>,
    /// Hosts in an `EndpointSlice`; empty in a `ConfigMap`.
    #[serde(default, deserialize_with = "read_endpoints", skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<Endpoint>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Metadata {
    #[serde(default)]
    pub name: ObjectName,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resource_version: ObjectVersion,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<String, String>,
}

/// Options of a conditional delete, which the platform refuses when the object has another version.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct DeleteOptions<'a> {
    api_version: &'static str,
    kind: &'static str,
    preconditions: Preconditions<'a>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Preconditions<'a> {
    resource_version: &'a str,
}

impl<'a> DeleteOptions<'a> {
    pub(crate) fn with_version(resource_version: &'a str) -> Self {
        let preconditions = Preconditions { resource_version };
        Self { api_version: "v1", kind: "DeleteOptions", preconditions }
    }
}

/// One page of a list.
#[derive(Debug)]
pub(crate) struct ObjectPage {
    /// Objects that can be read.
    pub objects: Vec<Object>,
    /// Version from which a watch continues the list.
    pub version: ObjectVersion,
    /// Token with which to ask for the next page; empty on the last one.
    pub next_page: String,
}

#[derive(Debug, Deserialize)]
struct ListText<'a> {
    metadata: ListMetadata,
    /// Objects, each decoded by itself.
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListMetadata {
    #[serde(default)]
    resource_version: ObjectVersion,
    #[serde(rename = "continue", default)]
    next_page: Option<String>,
}

/// Reads one page of a list. An object that can't be read is left out.
///
/// # Errors
/// Fails if the text is no list.
pub(crate) fn read_page(text: &str) -> serde_json::Result<ObjectPage> {
    let list: ListText<'_> = serde_json::from_str(text)?;
    let read = |item: &&RawValue| match serde_json::from_str::<ConfigMap>(item.get()) {
        Ok(map) => Some(Object::from(map)),
        Err(error) => {
            log::warn!("an object of a list can't be read: {error}");
            None
        }
    };
    Ok(ObjectPage {
        objects: list.items.iter().filter_map(read).collect(),
        version: list.metadata.resource_version,
        next_page: list.metadata.next_page.unwrap_or_default(),
    })
}

/// One event of a watch.
#[derive(Debug)]
pub(crate) enum WatchEvent {
    /// The object was created or changed.
    Put(Object),
    /// The object with this name was deleted, or changed to one that can't be read.
    Gone(ObjectName),
    /// Nothing changed, as far as it can be read.
    Nothing,
}

#[derive(Debug, Deserialize)]
struct WatchText<'a> {
    #[serde(rename = "type")]
    event: WatchEventType,
    #[serde(borrow)]
    object: &'a RawValue,
}

/// An object of which only the name is read.
#[derive(Debug, Deserialize)]
struct NamedText {
    metadata: NameText,
}

#[derive(Debug, Deserialize)]
struct NameText {
    name: ObjectName,
}

/// Reads one event of a watch.
///
/// # Errors
/// Fails if the text is no event. An object that can't be read doesn't matter.
pub(crate) fn read_event(text: &str) -> serde_json::Result<WatchEvent> {
    let WatchText { event, object } = serde_json::from_str(text)?;
    if event == WatchEventType::Bookmark {
        return Ok(WatchEvent::Nothing);
    }
    let named = serde_json::from_str::<NamedText>(object.get());
    match (event, serde_json::from_str::<ConfigMap>(object.get())) {
        (WatchEventType::Added | WatchEventType::Modified, Ok(map)) => {
            Ok(WatchEvent::Put(map.into()))
        }
        (_, read) => {
            if let Err(error) = read {
                log::warn!("an object of a watch can't be read: {error}");
            }
            Ok(named.map_or(WatchEvent::Nothing, |named| WatchEvent::Gone(named.metadata.name)))
        }
    }
}

/// Reads the hosts of a list; one that can't be read is left out.
fn read_endpoints<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Endpoint>, D::Error> {
    let values = Option::<Vec<Value>>::deserialize(deserializer)?.unwrap_or_default();
    Ok(values.into_iter().filter_map(|value| Endpoint::deserialize(value).ok()).collect())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum WatchEventType {
    Added,
    Modified,
    Deleted,
    Bookmark,
}

impl ConfigMap {
    pub(crate) fn new(kind: ObjectKind, name: &str, version: &str, value: &str) -> Self {
        let labels = BTreeMap::from([(KIND_LABEL.to_owned(), kind.label().to_owned())]);
        Self {
            api_version: "v1".to_owned(),
            kind: "ConfigMap".to_owned(),
            metadata: Metadata {
                name: name.to_owned(),
                resource_version: version.to_owned(),
                labels,
            },
            data: BTreeMap::from([(VALUE_KEY.to_owned(), value.to_owned())]),
            endpoints: Vec::new(),
        }
    }
}

impl From<ConfigMap> for Object {
    fn from(mut map: ConfigMap) -> Self {
        Self {
            name: map.metadata.name,
            version: map.metadata.resource_version,
            value: map.data.remove(VALUE_KEY).unwrap_or_default(),
            endpoints: map.endpoints,
        }
    }
}
