#include "quay/quay.h"

int main() { return 0; }
