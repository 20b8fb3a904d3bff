#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec target/review-3 13 review/13
