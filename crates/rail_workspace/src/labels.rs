//! Names of workspaces in metrics.

use crate::workspace::WorkspaceName;
use std::collections::BTreeSet;

/// Workspaces that metrics name.
const MAX_LABELS: usize = 32;
/// Label of all further workspaces together.
const OTHER_LABEL: &str = "other";

/// Labels of workspaces: the first ones that send requests have their names, so that the number of
/// metrics stays bounded.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceLabels {
    named: BTreeSet<WorkspaceName>,
}

impl WorkspaceLabels {
    /// Returns the label of a workspace.
    pub fn label<'a>(&mut self, name: &'a WorkspaceName) -> &'a str {
        if self.named.contains(name) {
            return name;
        }
        if self.named.len() >= MAX_LABELS {
            return OTHER_LABEL;
        }
        self.named.insert(WorkspaceName::clone(name));
        name
    }
}
