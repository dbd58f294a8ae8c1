//! Admission: bounded queues, urgency, deadlines, fair shares and shedding.
//!
//! [`AdmissionQueue`] stores the requests that wait for one engine. It refuses at once a request
//! that can't meet its deadline, enforces bounds in requests and bytes, and orders the waiting
//! requests: urgent before deferrable, then by deadline. [`ServiceRate`] measures how fast the
//! engine finishes requests, from which waiting times and retry delays are estimated. The caller
//! passes in the current time; nothing here reads a clock.
//!
//! ```
//! use rail_admit::{AdmissionQueue, QueueLimits, AdmissionRequest, Urgency};
//! use std::time::Duration;
//!
//! let mut queue = AdmissionQueue::new(QueueLimits::default());
//! let request = AdmissionRequest {
//!     caller: "riders".to_owned(),
//!     urgency: Urgency::Urgent,
//!     size_bytes: 100,
//!     deadline: Duration::from_secs(2),
//! };
//! queue.push(request, "request", Duration::ZERO).unwrap();
//! let first = queue.start_order(Duration::ZERO)[0];
//! assert_eq!(queue.dequeue(first), Some("request"));
//! ```

pub mod queue;
pub mod rate;
pub mod refusal;
pub mod request;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        queue::{AdmissionQueue, EntryId, QueueLimits, QueuePolicy, UnknownQueuePolicy},
        rate::ServiceRate,
        refusal::{Refusal, RefusalReason, Refused},
        request::{AdmissionRequest, Urgency},
    };
}
pub use prelude::*;
