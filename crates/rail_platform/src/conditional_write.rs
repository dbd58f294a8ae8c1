//! Resolves the outcome of conditional writes whose reply was lost.
//!
//! The write is repeated with the same expected version, so that at most one of
//! its copies takes effect, however late the earlier ones arrive. When the
//! object has another version, it is read back and its value compared.

use crate::{
    backoff::Backoff,
    client::PlatformClient,
    error::{Error, Result},
    object::{Object, ObjectKind, ObjectVersion},
};

/// Maximum number of calls per write; after these the outcome is reported as unknown.
pub const MAX_WRITE_CALLS: u32 = 8;

/// A write that takes effect only on the expected version of an object.
#[derive(Debug, Clone, Copy)]
pub struct ConditionalWrite<'a> {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: &'a str,
    /// New value; must differ from that of every other writer, for example by a nonce.
    pub value: &'a str,
    /// Version that the object must have; `None` when no object may have the name.
    pub expected_version: Option<&'a str>,
}

/// Known outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; contains the object as written.
    Applied(Object),
    /// Another writer changed or deleted the object.
    ///
    /// The write may have taken effect before that of the other writer when
    /// `had_no_effect` is false.
    Superseded {
        /// Current object; `None` when it was deleted.
        current: Option<Object>,
        /// Whether the write certainly had no effect.
        had_no_effect: bool,
    },
}

/// Next step of a [`WriteResolution`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send the write, always with the same expected version.
    Write,
    /// Read the object to compare its value.
    Read,
    /// The outcome is known.
    Done(WriteOutcome),
    /// The write was refused without effect, and no earlier copy can still take effect.
    Refused,
    /// [`MAX_WRITE_CALLS`] is reached; the outcome stays unknown.
    Unknown,
}

/// State machine that returns the next call until the outcome of one write is known; makes no calls
/// itself.
#[derive(Debug, Clone)]
pub struct WriteResolution {
    value: String,
    expected_version: Option<ObjectVersion>,
    calls: u32,
    is_effect_possible: bool,
}

/// Outcome of a single write or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded and returned this object.
    Object(Object),
    /// No object has the name.
    NotFound,
    /// The object has another version, or exists although it must not.
    Conflict,
    /// The call failed without effect.
    Refused,
    /// The reply was lost; a write may have taken effect.
    Lost,
}

impl WriteResolution {
    /// Creates the state before the first write is sent.
    pub fn new(value: &str, expected_version: Option<&str>) -> Self {
        Self {
            value: value.to_owned(),
            expected_version: expected_version.map(str::to_owned),
            calls: 0,
            is_effect_possible: false,
        }
    }

    /// Records the outcome of a write and returns the next step.
    pub fn finish_write(&mut self, outcome: CallOutcome) -> Step {
        match outcome {
            CallOutcome::Object(object) => Step::Done(WriteOutcome::Applied(object)),
            CallOutcome::Conflict | CallOutcome::NotFound => self.advance(Step::Read),
            CallOutcome::Refused if !self.is_effect_possible => Step::Refused,
            CallOutcome::Refused => self.advance(Step::Write),
            CallOutcome::Lost => {
                self.is_effect_possible = true;
                self.advance(Step::Read)
            }
        }
    }

    /// Records the outcome of a read and returns the next step.
    pub fn finish_read(&mut self, outcome: CallOutcome) -> Step {
        match outcome {
            CallOutcome::Object(object) if object.value == self.value => {
                Step::Done(WriteOutcome::Applied(object))
            }
            CallOutcome::Object(object)
                if self.expected_version.as_ref() == Some(&object.version) =>
            {
                self.advance(Step::Write)
            }
            CallOutcome::Object(object) => self.superseded(Some(object)),
            CallOutcome::NotFound if self.expected_version.is_none() => self.advance(Step::Write),
            CallOutcome::NotFound => self.superseded(None),
            CallOutcome::Conflict | CallOutcome::Refused | CallOutcome::Lost => {
                self.advance(Step::Read)
            }
        }
    }

    fn superseded(&self, current: Option<Object>) -> Step {
        Step::Done(WriteOutcome::Superseded { current, had_no_effect: !self.is_effect_possible })
    }

    /// Returns the step, or [`Step::Unknown`] once [`MAX_WRITE_CALLS`] is reached.
    fn advance(&mut self, step: Step) -> Step {
        self.calls += 1;
        if self.calls >= MAX_WRITE_CALLS { Step::Unknown } else { step }
    }
}

impl PlatformClient {
    /// Makes a conditional write and repeats it, or reads the object back, until the outcome is
    /// known.
    ///
    /// # Errors
    /// Any refusal that certainly had no effect, or [`Error::ReplyLost`] when
    /// the outcome is still unknown after [`MAX_WRITE_CALLS`] calls.
    pub async fn write_until_resolved(&self, write: ConditionalWrite<'_>) -> Result<WriteOutcome> {
        let mut resolution = WriteResolution::new(write.value, write.expected_version);
        let mut backoff = Backoff::default();
        let mut step = Step::Write;
        loop {
            let (outcome, refusal) = match step {
                Step::Write => call_outcome(self.write(write).await),
                Step::Read => call_outcome(self.get(write.name).await),
                Step::Done(write_outcome) => return Ok(write_outcome),
                Step::Refused | Step::Unknown => return Err(Error::ReplyLost),
            };
            let needs_backoff = matches!(outcome, CallOutcome::Lost | CallOutcome::Refused);
            step = match step {
                Step::Write => resolution.finish_write(outcome),
                _ => resolution.finish_read(outcome),
            };
            if let (Step::Refused, Some(refusal)) = (&step, refusal) {
                return Err(refusal);
            }
            if needs_backoff && !matches!(step, Step::Unknown) {
                let delay = backoff.next_delay(&mut rand::rng());
                actix_rt::time::sleep(delay).await;
            }
        }
    }

    async fn write(&self, write: ConditionalWrite<'_>) -> Result<Object> {
        match write.expected_version {
            Some(version) => self.update(write.kind, write.name, write.value, version).await,
            None => self.create(write.kind, write.name, write.value).await,
        }
    }
}

fn call_outcome(result: Result<Object>) -> (CallOutcome, Option<Error>) {
    match result {
        Ok(object) => (CallOutcome::Object(object), None),
        Err(Error::NotFound) => (CallOutcome::NotFound, None),
        Err(Error::Conflict | Error::AlreadyExists) => (CallOutcome::Conflict, None),
        Err(error) if error.is_effect_unknown() => (CallOutcome::Lost, None),
        Err(error) => (CallOutcome::Refused, Some(error)),
    }
}
