//! Loopback networks that no other test uses.

use rand::Rng;
use std::{
    net::{IpAddr, Ipv4Addr, TcpListener},
    sync::{Condvar, Mutex, PoisonError},
};

/// Fleets that run at once in one test process.
const MAX_FLEETS: usize = 2;
/// Last part of the address, and port, whose listener reserves a network.
const LOCK_HOST: u8 = 254;
const LOCK_PORT: u16 = 9999;

static FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// A reserved network of 254 loopback addresses.
#[derive(Debug)]
pub struct Network {
    second: u8,
    third: u8,
    _lock: TcpListener,
}

impl Network {
    /// Waits for a turn, then reserves a network that is free.
    pub fn reserve() -> Self {
        let fleets = FLEETS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fleets = FLEET_ENDED
            .wait_while(fleets, |count| *count >= MAX_FLEETS)
            .unwrap_or_else(PoisonError::into_inner);
        *fleets += 1;
        drop(fleets);
        loop {
            let (second, third) = rand::rng().random::<(u8, u8)>();
            if !(80..=250).contains(&second) {
                continue;
            }
            let lock_ip = Ipv4Addr::new(127, second, third, LOCK_HOST);
            if let Ok(lock) = TcpListener::bind((lock_ip, LOCK_PORT)) {
                return Self { second, third, _lock: lock };
            }
        }
    }

    /// Gives an address of the network.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        *FLEETS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FLEET_ENDED.notify_all();
    }
}
