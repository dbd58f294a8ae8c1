//! The holder's side of a session.

use crate::record::SessionRecord;
use std::time::Duration;

/// Renewals in one time to live.
pub const RENEWALS_PER_TTL: u32 = 3;

/// What the shell should send to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderCommand {
    /// Create the session record.
    Create(SessionRecord),
    /// Update the session record if it still has this version.
    Renew {
        /// New content.
        record: SessionRecord,
        /// Version that must stand.
        expected_version: String,
    },
}

/// Keeps one session alive and knows whether it is in force.
#[derive(Debug, Clone)]
pub struct SessionHolder {
    record: SessionRecord,
    version: Option<String>,
    sent_at: Option<Duration>,
    pending_sent_at: Option<Duration>,
    ended: bool,
}

impl SessionHolder {
    /// Starts a session that is not in force before its record is created.
    pub fn new(record: SessionRecord) -> Self {
        Self { record, version: None, sent_at: None, pending_sent_at: None, ended: false }
    }

    /// Gives the next call to make, if one is due.
    pub fn poll(&mut self, now: Duration) -> Option<HolderCommand> {
        if self.ended || self.pending_sent_at.is_some() {
            return None;
        }
        let period = self.ttl() / RENEWALS_PER_TTL;
        if self.sent_at.is_some_and(|sent| now < sent + period) {
            return None;
        }
        self.pending_sent_at = Some(now);
        let mut record = self.record.clone();
        let Some(expected_version) = self.version.clone() else {
            return Some(HolderCommand::Create(record));
        };
        record.renewals += 1;
        Some(HolderCommand::Renew { record, expected_version })
    }

    /// Records that the call was carried out.
    pub fn acknowledge(&mut self, record: SessionRecord, version: String) {
        self.sent_at = self.pending_sent_at.take().or(self.sent_at);
        self.record = record;
        self.version = Some(version);
    }

    /// Records that the call failed without effect, or that its effect is unknown.
    pub fn fail(&mut self) {
        self.pending_sent_at = None;
    }

    /// Records that the platform holds another version: the session has ended.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Marks the session as leaving from its next renewal on, which is due at once.
    pub fn leave(&mut self) {
        self.record.leaving = true;
    }

    /// Reports whether orders may be given under this session.
    pub fn is_in_force(&self, now: Duration) -> bool {
        !self.ended && self.sent_at.is_some_and(|sent| now < sent + self.ttl())
    }

    /// Reports whether the session has ended.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the record as last acknowledged.
    pub fn record(&self) -> &SessionRecord {
        &self.record
    }

    fn ttl(&self) -> Duration {
        Duration::from_millis(self.record.ttl_ms)
    }
}
