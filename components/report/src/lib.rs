//! Who holds which configuration, kept in the platform.
