//! Membership of daemons and backend servers: announcements, liveness, draining.
