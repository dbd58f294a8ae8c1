//! What callers sent and used in a run.

use super::{Fleet, SETTLED, Spent, load::WINDOW};
use std::time::Duration;

/// Seconds of the judged time.
const JUDGED_S: f64 = 16.0;

impl Fleet {
    /// Returns the most units that a load used in a window which begins at `from` or later.
    pub fn most_in_window(&self, load: usize, from: Duration) -> u64 {
        let is_counted = |spent: &&Spent| spent.load == load && spent.at >= from;
        let spent: Vec<&Spent> = self.spent.iter().filter(is_counted).collect();
        let (mut most, mut sum, mut first) = (0, 0, 0);
        for last in &spent {
            sum += last.cost;
            while spent[first].at + WINDOW <= last.at {
                sum -= spent[first].cost;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    /// Returns the units a second that a load used in the judged time.
    pub fn used_per_s(&self, load: usize) -> f64 {
        let spent = self.spent.iter().filter(|spent| spent.load == load && spent.at >= SETTLED);
        let units: u64 = spent.map(|spent| spent.cost).sum();
        units as f64 / JUDGED_S
    }

    /// Returns the share of the requests that were charged.
    pub fn served(&self, load: usize) -> f64 {
        f64::from(self.charged[load]) / f64::from(self.sent[load])
    }
}
