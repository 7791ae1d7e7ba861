//! Orders as an operator writes them.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use sk_member::ServerVersion;
use sk_model::ServiceName;
use tokio::time::Instant;

use crate::error::OrderError;

/// Identifies an order: the object, when it was created, and what it asks for. The revision of an
/// object is no part of it, because it changes with each write of the status.
pub type OrderId = String;

/// State of an order in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Traffic is being moved.
    Running,
    /// All traffic has been moved.
    Done,
    /// The target version gets nothing.
    RolledBack,
}

/// An order to move the traffic of a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the object.
    pub name: String,
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Version that is to get it.
    pub target: ServerVersion,
    /// Milliseconds within which it is to be moved.
    pub duration_ms: u64,
    /// Revision at which the object was created.
    pub created: u64,
    /// Revision of the object's last change, the condition for a write of the status.
    pub revision: u64,
    /// State in the store, if it is one of this target version.
    pub state: Option<OrderState>,
}

impl RolloutOrder {
    /// Returns the identity of the order.
    pub fn id(&self) -> OrderId {
        format!("{}@{}:{}:{}", self.name, self.created, self.target, self.duration_ms)
    }

    /// Returns the time within which the traffic is to be moved.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Returns whether the store holds the order's outcome, which is never overwritten.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, Some(OrderState::Done | OrderState::RolledBack))
    }
}

/// All valid orders of the store at one position of its history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBook {
    /// Position in the store's history; the greater one is later.
    pub position: u64,
    /// The orders, by name.
    pub orders: Vec<RolloutOrder>,
}

/// Result of a read of the orders.
#[derive(Clone, Debug)]
pub struct OrderRead {
    /// The orders.
    pub book: OrderBook,
    /// Time as of which they are known, never later than the true one.
    pub read_at: Instant,
}

/// Store that holds the orders.
#[async_trait]
pub trait OrderSource: Send + Sync {
    /// Waits up to `wait` for a change and returns the orders. The first call, and the first one
    /// after an error, returns at once.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderError`] if the store cannot be read.
    async fn next_orders(&self, wait: Duration) -> Result<OrderRead, OrderError>;

    /// Reads one order again, none if there is no valid one of this name.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderError`] if the store cannot be read.
    async fn read_order(&self, name: &str) -> Result<Option<RolloutOrder>, OrderError>;

    /// Writes the state of an order whose object still has the order's revision.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::Changed`] if it has another one, and [`OrderError::Unavailable`] if
    /// the outcome is unknown.
    async fn write_state(&self, order: &RolloutOrder, state: OrderState) -> Result<(), OrderError>;
}
