//! Services whose upstreams fall over when they have to turn many requests away.

use std::{collections::HashMap, time::Duration};

/// Time after a statement in which an answer without it does not end it, since upstreams of one
/// service don't all begin at the same moment.
const LEAST_STATED_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Statement {
    max_refusals_per_s: u32,
    stated_at: Duration,
}

/// Services that are brittle by the latest answers of their upstreams.
///
/// Upstreams of a brittle service say so in all their answers. What one of them says counts for all,
/// since a host gets few answers of each.
#[derive(Debug, Clone, Default)]
pub struct BrittleServices {
    statements: HashMap<String, Statement>,
}

impl BrittleServices {
    /// Records the refusals a second that an upstream of a service says to survive, `None` if it
    /// says nothing of that. Returns whether the knowledge about the service has changed.
    pub fn record_answer(
        &mut self,
        service: &str,
        max_refusals_per_s: Option<u32>,
        now: Duration,
    ) -> bool {
        let before = self.max_refusals_per_s(service);
        if let Some(max_refusals_per_s) = max_refusals_per_s {
            let statement = Statement { max_refusals_per_s, stated_at: now };
            self.statements.insert(service.to_owned(), statement);
        } else if let Some(statement) = self.statements.get(service)
            && now >= statement.stated_at + LEAST_STATED_TIME
        {
            self.statements.remove(service);
        }
        before != self.max_refusals_per_s(service)
    }

    /// Returns the refusals a second that each upstream of a service survives, `None` if the service
    /// is not brittle.
    pub fn max_refusals_per_s(&self, service: &str) -> Option<u32> {
        self.statements.get(service).map(|statement| statement.max_refusals_per_s)
    }

    /// Removes services that `is_known` doesn't know.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool) {
        self.statements.retain(|service, _| is_known(service));
    }
}
