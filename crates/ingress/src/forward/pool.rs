//! Connections to endpoints that wait for their next request.

use std::{collections::HashMap, net::SocketAddr};

use bluebell_core::{clock::ClockTime, ids::EndpointId};

use crate::{context::Shared, forward::connection::EndpointConnection};

/// The most idle connections that are kept for one endpoint: its connections are
/// shared by all entries.
const IDLE_LIMIT: usize = 24;

#[derive(Debug)]
struct EndpointPool {
    address: SocketAddr,
    idle: Vec<EndpointConnection>,
}

/// The idle connections of all endpoints. A pool is of one start of an endpoint:
/// when the endpoint starts anew or its address changes, the pool is dropped.
#[derive(Debug, Default)]
pub struct ConnectionPools {
    pools: Shared<HashMap<EndpointId, EndpointPool>>,
}

impl ConnectionPools {
    /// No connection.
    pub fn new() -> ConnectionPools {
        ConnectionPools::default()
    }

    /// The idle connection that was used last, if one is usable.
    pub fn take(
        &self,
        now: ClockTime,
        id: &EndpointId,
        address: SocketAddr,
    ) -> Option<EndpointConnection> {
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(id).filter(|pool| pool.address == address)?;
        pool.idle.retain(|connection| connection.is_usable(now));
        pool.idle.pop()
    }

    /// Puts a connection back whose answer was read to its end.
    pub fn put(
        &self,
        now: ClockTime,
        id: &EndpointId,
        address: SocketAddr,
        mut connection: EndpointConnection,
    ) {
        connection.rest(now);
        let mut pools = self.pools.lock();
        let pool = pools.entry(id.clone()).or_insert_with(|| EndpointPool {
            address,
            idle: Vec::new(),
        });
        if pool.address != address {
            pool.idle.clear();
            pool.address = address;
        }
        if pool.idle.len() < IDLE_LIMIT {
            pool.idle.push(connection);
        }
    }

    /// Drops the idle connections of an endpoint.
    pub fn forget(&self, id: &EndpointId) {
        self.pools.lock().remove(id);
    }
}
