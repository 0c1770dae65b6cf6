//! Pools of idle connections to endpoints.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use bluebell_core::{clock::ClockTime, ids::EndpointId};

use crate::{
    forward::connection::{ConnectionNumber, EndpointConnection},
    shared::Shared,
};

/// Maximum number of idle connections to one endpoint: all entries share the
/// connections that an endpoint accepts.
const MAX_IDLE_CONNECTIONS: usize = 24;

#[derive(Debug)]
struct EndpointPool {
    address: SocketAddr,
    idle: Vec<EndpointConnection>,
}

/// The idle connections of all endpoints. A pool belongs to one start of an endpoint:
/// it is dropped when the endpoint restarts or its address changes.
#[derive(Debug, Default)]
pub struct ConnectionPools {
    pools: Shared<HashMap<EndpointId, EndpointPool>>,
}

impl ConnectionPools {
    /// Creates a set of empty pools.
    pub fn new() -> ConnectionPools {
        ConnectionPools::default()
    }

    /// Removes and returns the most recently used idle connection that is usable and has not
    /// carried the request before, which was sent on the connections in `used`.
    pub fn take(
        &self,
        now: ClockTime,
        id: &EndpointId,
        address: SocketAddr,
        used: &BTreeSet<ConnectionNumber>,
    ) -> Option<EndpointConnection> {
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(id).filter(|pool| pool.address == address)?;
        pool.idle.retain(|connection| connection.is_usable(now));
        let is_unused = |idle: &EndpointConnection| !used.contains(&idle.number());
        let newest = pool.idle.iter().rposition(is_unused)?;
        Some(pool.idle.remove(newest))
    }

    /// Adds a connection whose answer was read to its end, or closes it if the pool of
    /// the endpoint is full.
    pub fn put(
        &self,
        now: ClockTime,
        id: &EndpointId,
        address: SocketAddr,
        mut connection: EndpointConnection,
    ) {
        connection.mark_idle(now);
        let mut pools = self.pools.lock();
        let pool = pools.entry(id.clone()).or_insert_with(|| EndpointPool {
            address,
            idle: Vec::new(),
        });
        if pool.address != address {
            pool.idle.clear();
            pool.address = address;
        }
        if pool.idle.len() < MAX_IDLE_CONNECTIONS {
            pool.idle.push(connection);
        }
    }

    /// Closes the idle connections of an endpoint.
    pub fn remove_endpoint(&self, id: &EndpointId) {
        self.pools.lock().remove(id);
    }
}
