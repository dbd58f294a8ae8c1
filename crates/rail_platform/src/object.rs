//! Objects and their representation in the Kubernetes API.

use crate::hosts::Endpoint;
use serde::{Deserialize, Serialize};
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
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
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

#[derive(Debug, Deserialize)]
pub(crate) struct ConfigMapList {
    pub metadata: Metadata,
    pub items: Vec<ConfigMap>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub event: WatchEventType,
    pub object: ConfigMap,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum WatchEventType {
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
