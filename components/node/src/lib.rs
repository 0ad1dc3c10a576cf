//! The daemon assembled: tables, systems and threads.
