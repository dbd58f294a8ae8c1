//! Settles conditional writes whose reply was lost.
//!
//! The write is repeated with the same expected version, so at most one of
//! its copies takes effect, however late the earlier ones arrive. When the
//! version has moved, the object is read back and compared.

use crate::{
    backoff::Backoff,
    client::PlatformClient,
    error::{Error, Result},
    object::{Object, ObjectKind, ObjectVersion},
};

/// Calls after which a write stays unsettled.
pub const MAX_WRITE_CALLS: u32 = 8;

/// A conditional write.
#[derive(Debug, Clone, Copy)]
pub struct ConditionalWrite<'a> {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: &'a str,
    /// Value; must be unlike any other writer's, as by a nonce.
    pub value: &'a str,
    /// Version that must stand; none when the name must be free.
    pub expected_version: Option<&'a str>,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; the object as written.
    Applied(Object),
    /// Another writer went first; the object as it stands, unless it was deleted.
    ///
    /// The write may have taken effect before that other writer's when
    /// `had_no_effect` is false.
    Superseded {
        /// What stands now.
        current: Option<Object>,
        /// Whether the write certainly had no effect.
        had_no_effect: bool,
    },
}

/// Next step of a settlement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send the write, again with the same expected version.
    Write,
    /// Read the object back.
    Read,
    /// The outcome is known.
    Done(WriteOutcome),
    /// The write was refused without effect, and no earlier copy may arrive.
    Refused,
    /// The outcome stays unknown.
    Unknown,
}

/// Decides how to settle one write; does no calls itself.
#[derive(Debug, Clone)]
pub struct WriteResolution {
    value: String,
    expected_version: Option<ObjectVersion>,
    calls: u32,
    is_effect_possible: bool,
}

/// How a write or read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// It succeeded and gave this object.
    Object(Object),
    /// No object has the name.
    NotFound,
    /// The version has moved or the name is taken.
    Conflict,
    /// It failed without effect.
    Refused,
    /// It may have taken effect.
    Lost,
}

impl WriteResolution {
    /// Starts with a write that is not sent yet.
    pub fn new(value: &str, expected_version: Option<&str>) -> Self {
        Self {
            value: value.to_owned(),
            expected_version: expected_version.map(str::to_owned),
            calls: 0,
            is_effect_possible: false,
        }
    }

    /// Takes the end of a write.
    pub fn finish_write(&mut self, end: CallOutcome) -> Step {
        match end {
            CallOutcome::Object(object) => Step::Done(WriteOutcome::Applied(object)),
            CallOutcome::Conflict | CallOutcome::NotFound => self.next(Step::Read),
            CallOutcome::Refused if !self.is_effect_possible => Step::Refused,
            CallOutcome::Refused => self.next(Step::Write),
            CallOutcome::Lost => {
                self.is_effect_possible = true;
                self.next(Step::Read)
            }
        }
    }

    /// Takes the end of a read.
    pub fn finish_read(&mut self, end: CallOutcome) -> Step {
        match end {
            CallOutcome::Object(object) if object.value == self.value => {
                Step::Done(WriteOutcome::Applied(object))
            }
            CallOutcome::Object(object)
                if self.expected_version.as_ref() == Some(&object.version) =>
            {
                self.next(Step::Write)
            }
            CallOutcome::Object(object) => self.superseded(Some(object)),
            CallOutcome::NotFound if self.expected_version.is_none() => self.next(Step::Write),
            CallOutcome::NotFound => self.superseded(None),
            CallOutcome::Conflict | CallOutcome::Refused | CallOutcome::Lost => {
                self.next(Step::Read)
            }
        }
    }

    fn superseded(&self, current: Option<Object>) -> Step {
        Step::Done(WriteOutcome::Superseded { current, had_no_effect: !self.is_effect_possible })
    }

    fn next(&mut self, step: Step) -> Step {
        self.calls += 1;
        if self.calls >= MAX_WRITE_CALLS { Step::Unknown } else { step }
    }
}

impl PlatformClient {
    /// Writes conditionally and settles a lost reply by reading back.
    ///
    /// # Errors
    /// Any refusal that certainly had no effect, or [`Error::ReplyLost`] when
    /// the outcome could not be learnt.
    pub async fn write_until_resolved(&self, write: ConditionalWrite<'_>) -> Result<WriteOutcome> {
        let mut settlement = WriteResolution::new(write.value, write.expected_version);
        let mut backoff = Backoff::default();
        let mut step = Step::Write;
        loop {
            let (end, refusal) = match step {
                Step::Write => split(self.write(write).await),
                Step::Read => split(self.get(write.name).await),
                Step::Done(settled) => return Ok(settled),
                Step::Refused | Step::Unknown => return Err(Error::ReplyLost),
            };
            let is_failure = matches!(end, CallOutcome::Lost | CallOutcome::Refused);
            step = match step {
                Step::Write => settlement.finish_write(end),
                _ => settlement.finish_read(end),
            };
            if let (Step::Refused, Some(refusal)) = (&step, refusal) {
                return Err(refusal);
            }
            if is_failure && !matches!(step, Step::Unknown) {
                let pause = backoff.next_delay(&mut rand::rng());
                actix_rt::time::sleep(pause).await;
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

fn split(result: Result<Object>) -> (CallOutcome, Option<Error>) {
    match result {
        Ok(object) => (CallOutcome::Object(object), None),
        Err(Error::NotFound) => (CallOutcome::NotFound, None),
        Err(Error::Conflict | Error::AlreadyExists) => (CallOutcome::Conflict, None),
        Err(error) if error.is_effect_unknown() => (CallOutcome::Lost, None),
        Err(error) => (CallOutcome::Refused, Some(error)),
    }
}
