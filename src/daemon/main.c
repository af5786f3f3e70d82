#include "basildock.h"

#include <stdio.h>

int
main (void)
{
  puts ("basildockd " BD_VERSION);
  return 0;
}
